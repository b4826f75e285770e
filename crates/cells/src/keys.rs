//! Names of the rows that the cells keep.

use crate::ports::Place;

/// Table of what every process has to know: leases, heartbeats and loads.
pub const SHARED_TABLE: &str = "shared";
/// Part of the leases and rosters, which are written under the leases' conditions.
pub const LEASE_PART: &str = "lease";
/// Part of the heartbeats. A part takes a limited number of transactions, so that what every
/// process writes often is apart from what few write.
pub const HEARTBEAT_PART: &str = "beat";
/// Part of the loads.
pub const LOAD_PART: &str = "load";
/// Part of the duties.
pub const DUTY_PART: &str = "duty";
/// Cell of the fleet's own duties; pools can't have this name, as it is no name for a service.
pub const FLEET_CELL: &str = "!fleet";

/// Lease of a cell.
pub fn lease(cell: &str) -> Place {
    Place::new(SHARED_TABLE, LEASE_PART, cell)
}

/// Heartbeat of a process.
pub fn heartbeat(process: &str) -> Place {
    Place::new(SHARED_TABLE, HEARTBEAT_PART, process)
}

/// Load of a cell.
pub fn load(cell: &str) -> Place {
    Place::new(SHARED_TABLE, LOAD_PART, cell)
}

/// Executors that holders of a cell have given orders to.
pub fn roster(cell: &str) -> Place {
    Place::new("roster", LEASE_PART, cell)
}

/// Mark of the holder of a cell in a part of the jobs.
pub fn fence(part: &str, cell: &str) -> Place {
    Place::new("fence", part, cell)
}

/// State of a job, under its queue.
pub fn state(part: &str, id: &str) -> Place {
    Place::new("states", part, id)
}

/// Table of the jobs of a cell.
pub fn jobs_table(cell: &str) -> String {
    format!("jobs.{cell}")
}

/// Table of the progress of a cell's jobs.
pub fn progress_table(cell: &str) -> String {
    format!("progress.{cell}")
}

/// Key of the mark that a job is cancelled, beside the job's own.
pub fn cancel_key(id: &str) -> String {
    format!("{id}!")
}

/// Table of what is going on with machines.
pub const DUTY_TABLE: &str = "duties";

/// A machine's maintenance in a wave.
pub fn maintenance(wave: u64, machine: &str) -> Place {
    Place::new(DUTY_TABLE, DUTY_PART, &format!("wave/{wave}/{machine}"))
}

/// When a wave was first seen, by the table's clock.
pub fn wave_start(wave: u64) -> Place {
    Place::new(SHARED_TABLE, DUTY_PART, &format!("wave/{wave}"))
}

/// A machine's move to another pool.
pub fn pool_move(machine: &str) -> Place {
    Place::new(DUTY_TABLE, DUTY_PART, &format!("move/{machine}"))
}

/// Parts over which the jobs of a queue are spread. A part takes 150 transactions a second; a turn
/// brings some 200 jobs a second in as many transactions, and the holder's own come to that.
const PARTS_PER_QUEUE: u64 = 8;

/// Part of the table that holds a job.
///
/// It depends on the queue and the job's id alone, so that a job is found after its queue has moved
/// to another pool.
///
/// # Examples
///
/// ```
/// use cells::keys::{part, parts};
/// assert!(parts("q").any(|p| p == part("q", "5c0e7a21d94b36f8")));
/// ```
pub fn part(queue: &str, id: &str) -> String {
    // Written out, as it has to be the same in all processes and versions.
    let mixed = id.bytes().fold(0u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    shard(queue, mixed % PARTS_PER_QUEUE)
}

/// All parts that hold jobs of a queue.
pub fn parts(queue: &str) -> impl Iterator<Item = String> {
    (0..PARTS_PER_QUEUE).map(move |n| shard(queue, n))
}

fn shard(queue: &str, number: u64) -> String {
    format!("{queue}/{number}")
}
