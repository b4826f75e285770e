//! Operator's command line: applies contracts, asks plain questions, shows the time line.

mod call;
mod cli;
mod contract;
mod error;
mod explain;
mod instance;
mod plan;
mod print;
mod timeline;

use std::process::ExitCode;

use call::Control;
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
    if let JtallyCmd::Explain(ask) = &flags.subcommand {
        return explain::show(&ask.job, &ask.logs, json);
    }
    let control = Control::open(flags.at.as_deref())?;
    match flags.subcommand {
        JtallyCmd::Contract(contract) => match contract.subcommand {
            ContractCmd::Apply(ask) => {
                contract::apply(&control, &ask.file, ask.base, ask.ahead, json).await
            }
            ContractCmd::Show(ask) => contract::show(&control, &ask.customer, json).await,
            ContractCmd::History(ask) => contract::history(&control, &ask.customer, json).await,
            ContractCmd::Delete(ask) => {
                contract::delete(&control, &ask.customer, ask.base, json).await
            }
        },
        JtallyCmd::Plan(ask) => plan::show(&control, &ask.customer, json).await,
        JtallyCmd::Fleet(_) => instance::fleet(&control, json).await,
        JtallyCmd::Why(ask) => instance::why(&control, &ask.instance, json).await,
        JtallyCmd::Drain(ask) => {
            instance::order(&control, &ask.instance, None, ask.reason, json).await
        }
        JtallyCmd::Move(ask) => {
            instance::order(&control, &ask.instance, Some(ask.pool), ask.reason, json).await
        }
        JtallyCmd::Timeline(ask) => timeline::show(&control, ask.filter.as_deref(), json).await,
        // Answered above, as it asks no process.
        JtallyCmd::Explain(_) => Ok(()),
        JtallyCmd::Status(_) => instance::status(&control, json).await,
    }
}
