//! Operator's command line: applies contracts, orders maintenance and shows the fleet's state.

mod call;
mod cli;
mod contract;
mod error;
mod explain;
mod instance;
mod plan;
mod print;
mod service;
mod timeline;

use std::process::ExitCode;

use call::ControlClient;
use cli::{ContractCmd, Jtally, JtallyCmd};
use error::Error;

#[actix::main]
async fn main() -> ExitCode {
    let flags = Jtally::from_env_or_exit();
    match run(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jtally: {error}");
            ExitCode::from(error.code())
        }
    }
}

async fn run(flags: Jtally) -> Result<(), Error> {
    let json = flags.json;
    if let JtallyCmd::Explain(args) = &flags.subcommand {
        return explain::show(&args.job, &args.logs, json);
    }
    if let JtallyCmd::Served(args) = &flags.subcommand {
        return service::show(&args.logs, json);
    }
    let client = ControlClient::open(flags.at.as_deref())?;
    match flags.subcommand {
        JtallyCmd::Contract(contract) => match contract.subcommand {
            ContractCmd::Apply(args) => {
                contract::apply(&client, &args.file, args.base, args.ahead, json).await
            }
            ContractCmd::Show(args) => contract::show(&client, &args.customer, json).await,
            ContractCmd::History(args) => contract::history(&client, &args.customer, json).await,
            ContractCmd::Delete(args) => {
                contract::delete(&client, &args.customer, args.base, json).await
            }
        },
        JtallyCmd::Plan(args) => plan::show(&client, &args.customer, json).await,
        JtallyCmd::Fleet(_) => instance::fleet(&client, json).await,
        JtallyCmd::Why(args) => instance::why(&client, &args.instance, json).await,
        JtallyCmd::Drain(args) => {
            instance::order(&client, &args.instance, None, args.reason, json).await
        }
        JtallyCmd::Move(args) => {
            instance::order(&client, &args.instance, Some(args.pool), args.reason, json).await
        }
        JtallyCmd::Timeline(args) => timeline::show(&client, args.filter.as_deref(), json).await,
        // Handled above, as they need no control process.
        JtallyCmd::Explain(_) | JtallyCmd::Served(_) => Ok(()),
        JtallyCmd::Status(_) => instance::status(&client, json).await,
    }
}
