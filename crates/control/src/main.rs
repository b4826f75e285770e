//! Control process: manages pools, moves and maintenance under the contracts.

mod api;
mod cli;
mod customer;
mod process;

use std::process::ExitCode;

use crate::process::Process;

#[actix::main]
async fn main() -> ExitCode {
    let flags = cli::Flags::from_env_or_exit();
    let settings = match base::settings::load(&flags.settings) {
        Ok(settings) => settings,
        Err(error) => return exit_with(2, &error),
    };
    if let Err(error) = settings.log.init() {
        return exit_with(1, &error);
    }
    let process = match Process::spawn(&settings) {
        Ok(process) => process,
        Err(error) => return exit_with(1, &error),
    };
    base::admin::stop_signal().await;
    process.close().await;
    log::logger().flush();
    ExitCode::SUCCESS
}

/// Prints an error and returns the exit code.
fn exit_with(code: u8, error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(code)
}
