//! Tables, parts and keys of the rows that the cells store.

use crate::ports::Place;

/// Table that every process reads: leases, heartbeats and loads.
pub const SHARED_TABLE: &str = "shared";
/// Part of the leases.
pub const LEASE_PART: &str = "lease";
/// Part of the heartbeats.
///
/// A part takes a limited number of transactions a second, so heartbeats, which are written often,
/// have a part of their own.
pub const HEARTBEAT_PART: &str = "beat";
/// Part of the published loads of the cells.
pub const LOAD_PART: &str = "load";
/// Part of the times at which waves were first seen.
pub const WAVE_PART: &str = "duty";
/// Name under which the lease on the fleet's duties is stored.
///
/// It can't clash with a pool, as it is not a valid service name.
pub const FLEET_CELL: &str = "!fleet";

/// Returns the place of the lease on a cell.
pub fn lease(cell: &str) -> Place {
    Place::new(SHARED_TABLE, LEASE_PART, cell)
}

/// Returns the place of the heartbeat of a process.
pub fn heartbeat(process: &str) -> Place {
    Place::new(SHARED_TABLE, HEARTBEAT_PART, process)
}

/// Returns the place of the published load of a cell.
pub fn load(cell: &str) -> Place {
    Place::new(SHARED_TABLE, LOAD_PART, cell)
}

/// Returns the place of one of the copies of a cell's pool state.
pub fn pool_state(copy: usize, cell: &str) -> Place {
    Place::new(SHARED_TABLE, &format!("pool/{copy}"), cell)
}

/// Returns the place of one of the guard rows of a cell, each of which is in a part of its own.
pub fn guard(number: usize, cell: &str) -> Place {
    Place::new("guards", &format!("guard/{number}"), cell)
}

/// Returns the place of one of the lists of a roster, beside the guard row of the same number.
///
/// The roster names the executors to which holders of a cell may have sent orders.
pub fn roster(number: usize, cell: &str) -> Place {
    Place { table: "roster".to_owned(), ..guard(number, cell) }
}

/// Returns the place of a cell's fence row in a part that stores jobs.
pub fn fence(part: &str, cell: &str) -> Place {
    Place::new("fence", part, cell)
}

/// Returns the place of a job's state.
///
/// The state is stored under the queue of the job, whichever cell it belongs to.
pub fn state(part: &str, id: &str) -> Place {
    Place::new("states", part, id)
}

/// Table of the withdrawals, which are cancels of jobs that were not stored.
pub const WITHDRAWAL_TABLE: &str = "withdrawals";

/// Returns the place of the time at which a job was withdrawn, by the table's clock.
pub fn withdrawal(part: &str, id: &str) -> Place {
    Place::new(WITHDRAWAL_TABLE, part, id)
}

/// Returns the name of the table with the jobs of a cell.
pub fn jobs_table(cell: &str) -> String {
    format!("jobs.{cell}")
}

/// Returns the name of the table with the progress of a cell's jobs.
pub fn progress_table(cell: &str) -> String {
    format!("progress.{cell}")
}

/// Returns the key of a job's cancel marker, a row that is stored beside the job's own row.
pub fn cancel_key(id: &str) -> String {
    format!("{id}!")
}

/// Table of the duties of machines: their maintenance and their moves.
pub const DUTY_TABLE: &str = "duties";

/// Returns the place of a machine's maintenance in a wave.
pub fn maintenance(wave: u64, machine: &str) -> Place {
    Place::new(DUTY_TABLE, &duty_part(machine), &format!("wave/{wave}/{machine}"))
}

/// Returns the place of the time at which a wave was first seen, by the table's clock.
pub fn wave_start(wave: u64) -> Place {
    Place::new(SHARED_TABLE, WAVE_PART, &format!("wave/{wave}"))
}

/// Returns the place of a machine's move to another pool.
pub fn pool_move(machine: &str) -> Place {
    Place::new(DUTY_TABLE, &duty_part(machine), &format!("move/{machine}"))
}

/// Number of parts over which the duties are spread, so that most machines can still move while a
/// part is out of service.
const DUTY_PARTS: u64 = 4;

/// Returns the part that stores the duties of a machine.
fn duty_part(machine: &str) -> String {
    part_name("duty", hash(machine) % DUTY_PARTS)
}

/// Lists all parts that store duties.
pub fn duty_parts() -> Vec<String> {
    (0..DUTY_PARTS).map(|n| part_name("duty", n)).collect()
}

/// Table of the organisations' grants.
pub const ORGANISATION_TABLE: &str = "organisations";
/// Part of all grants, so that one transaction can change those of several organisations.
pub const GRANT_PART: &str = "grants";
/// Number of rows over which the grants are spread.
///
/// A row takes 64 KiB, and an organisation with four cells some 300 bytes of it, so that there is
/// space for some 1,500 organisations.
pub const GRANT_ROWS: u64 = 8;

/// Returns the place of one of the rows with the grants of organisations.
pub fn grants(number: u64) -> Place {
    Place::new(ORGANISATION_TABLE, GRANT_PART, &format!("grants/{number}"))
}

/// Returns the number of the row with the grants of an organisation.
///
/// # Examples
///
/// ```
/// use cells::keys::{GRANT_ROWS, grant_row};
/// assert!(grant_row("an organisation") < GRANT_ROWS);
/// ```
pub fn grant_row(organisation: &str) -> u64 {
    hash(organisation) % GRANT_ROWS
}

/// Number of parts over which the jobs of a queue are spread.
///
/// A part takes 150 transactions a second, and a few while the table is slow. A queue at its peak
/// receives up to 400 jobs a second in as many transactions, and the transactions of the cell's
/// holder come on top.
const PARTS_PER_QUEUE: u64 = 16;

/// Returns the part of the table that stores a job.
///
/// It depends only on the queue and the job's id, so a job is still found after its queue has been
/// assigned to another pool.
///
/// # Examples
///
/// ```
/// use cells::keys::{part, parts};
/// assert!(parts("q").any(|p| p == part("q", "5c0e7a21d94b36f8")));
/// ```
pub fn part(queue: &str, id: &str) -> String {
    part_name(queue, hash(id) % PARTS_PER_QUEUE)
}

/// Hashes a key. Not with the standard library's hasher: all processes and versions must compute
/// the same part.
fn hash(key: &str) -> u64 {
    key.bytes().fold(0u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()))
}

/// Lists all parts that store jobs of a queue.
pub fn parts(queue: &str) -> impl Iterator<Item = String> {
    (0..PARTS_PER_QUEUE).map(move |n| part_name(queue, n))
}

fn part_name(queue: &str, number: u64) -> String {
    format!("{queue}/{number}")
}
