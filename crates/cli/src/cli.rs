//! Command line of `jtally`.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs a fleet under its customers' contracts.
    ///
    /// Examples:
    ///   jtally --at 127.0.0.1:7101 contract apply stcn.yaml
    ///   jtally --at 127.0.0.1:7101 contract apply stcn.yaml --base 12
    ///   jtally --at 127.0.0.1:7101 drain boards-3 --reason "kernel update"
    ///   jtally --at 127.0.0.1:7101 why boards-3
    ///   jtally --at 127.0.0.1:7101 timeline --filter boards-3
    ///   jtally explain 5c0e7a21d94b36f8 --logs node-1.log --logs node-2.log
    ///
    /// Exit codes: 0 done, 1 internal fault, 2 wrong command line, 3 refused, 4 stale or in the
    /// way of another change, 5 not there, 6 out of reach, 7 not known whether it was written.
    cmd jtally {
        /// Operators' address of any control process; JTALLY_AT when not given.
        optional --at at: String
        /// Prints JSON.
        optional --json

        /// Contracts: one for each customer.
        cmd contract {
            /// Applies a contract file; it is in force everywhere within seconds.
            cmd apply {
                required file: PathBuf
                /// Revision that the file was made from; not needed for a new contract.
                optional --base base: u64
                /// Applies it ahead of the instances that it needs.
                optional --ahead
            }
            /// Shows a contract and its revision.
            cmd show { required customer: String }
            /// Shows all changes of a contract, newest first.
            cmd history { required customer: String }
            /// Deletes a contract.
            cmd delete {
                required customer: String
                /// Revision that is to be deleted.
                required --base base: u64
            }
        }
        /// Shows what a contract needs beside what is there: buffer, moves, steps of a wave.
        cmd plan { required customer: String }
        /// Lists all instances.
        cmd fleet { }
        /// Explains an instance: its state, the last decision and its reason.
        cmd why { required instance: String }
        /// Orders a maintenance stop: drain, reboot, back to the same pool.
        cmd drain {
            required instance: String
            /// Reason, shown by why and on the time line.
            optional --reason reason: String
        }
        /// Orders a move to another pool.
        cmd move {
            required instance: String
            required pool: String
            /// Reason, shown by why and on the time line.
            optional --reason reason: String
        }
        /// Shows the events of all processes, causes before effects.
        cmd timeline {
            /// Shows only events that contain this text.
            optional --filter filter: String
        }
        /// Tells the story of one job from the processes' logs, and its cause in a sentence.
        cmd explain {
            required job: String
            /// Log file; may be given several times; standard input when none is given.
            repeated --logs logs: PathBuf
        }
        /// Shows the process asked and the others that it knows.
        cmd status { }
    }
}
