//! Command line of `jtally`.

use std::path::PathBuf;

xflags::xflags! {
    /// Manages a fleet under its customers' contracts.
    ///
    /// Examples:
    ///   jtally --at 127.0.0.1:7101 contract apply stcn.yaml
    ///   jtally --at 127.0.0.1:7101 contract apply stcn.yaml --base 12
    ///   jtally --at 127.0.0.1:7101 drain boards-3 --reason "kernel update"
    ///   jtally --at 127.0.0.1:7101 why boards-3
    ///   jtally --at 127.0.0.1:7101 timeline --filter boards-3
    ///   jtally explain 5c0e7a21d94b36f8 --logs node-1.log --logs node-2.log
    ///
    /// Exit codes: 0 success, 1 internal error, 2 invalid command line, 3 refused, 4 stale or in
    /// conflict with another change, 5 not found, 6 unreachable, 7 unknown whether it was written.
    cmd jtally {
        /// Operators' address of any control process; default: JTALLY_AT.
        optional --at at: String
        /// Prints the result as JSON.
        optional --json

        /// Manages contracts, one for each customer.
        cmd contract {
            /// Applies a contract file, which comes into force everywhere within seconds.
            cmd apply {
                required file: PathBuf
                /// Revision on which the file is based; not needed for a new contract.
                optional --base base: u64
                /// Applies the contract before all instances that it needs are there.
                optional --ahead
            }
            /// Shows a contract and its revision.
            cmd show { required customer: String }
            /// Shows all changes of a contract, newest first.
            cmd history { required customer: String }
            /// Deletes a contract.
            cmd delete {
                required customer: String
                /// Revision to delete.
                required --base base: u64
            }
        }
        /// Shows what a contract needs: buffer, moves and steps of a maintenance wave.
        cmd plan { required customer: String }
        /// Lists all instances.
        cmd fleet { }
        /// Explains an instance: its state, the last decision and the reason for it.
        cmd why { required instance: String }
        /// Orders a maintenance stop: drain, reboot and return to the same pool.
        cmd drain {
            required instance: String
            /// Reason, shown by `why` and in the timeline.
            optional --reason reason: String
        }
        /// Orders a move to another pool.
        cmd move {
            required instance: String
            required pool: String
            /// Reason, shown by `why` and in the timeline.
            optional --reason reason: String
        }
        /// Shows the events of all processes, causes before effects.
        cmd timeline {
            /// Shows only events that contain this text.
            optional --filter filter: String
        }
        /// Shows the log lines of one job from several processes and its outcome in one sentence.
        cmd explain {
            required job: String
            /// Log file; may be given several times; default: standard input.
            repeated --logs logs: PathBuf
        }
        /// Sums up the logs by queue and organisation: accepted, in time, late and refused jobs, and waits.
        cmd served {
            /// Log file; may be given several times; default: standard input.
            repeated --logs logs: PathBuf
        }
        /// Shows the state of the control process and its list of other processes.
        cmd status { }
    }
}
