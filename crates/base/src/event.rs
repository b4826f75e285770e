//! Catalogue of numbered events, the same as in docs/EVENTS.md.

use strum::{Display, EnumIter, IntoStaticStr};

/// Kind of an event that a process records on its timeline and in its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// The process accepts work; the fields hold its addresses.
    Ready = 1001,
    /// The process received a stop signal and finishes its work in progress.
    Stopping = 1002,
    /// The process has finished its work and exits.
    Stopped = 1003,
    /// The settings file was read again.
    SettingsReloaded = 1004,
    /// Log lines of an event beyond its limit per second were left out; only logged.
    LinesLeftOut = 1005,
    /// A contract change was committed to the table.
    ContractCommitted = 1101,
    /// A contract change was refused.
    ContractRefused = 1102,
    /// A contract revision took effect in this process.
    ContractInForce = 1103,
    /// The platform's table stopped answering.
    PlatformAway = 1201,
    /// The platform's table answers again.
    PlatformBack = 1202,
    /// The response to a write was lost, and its outcome is still unknown at the time limit.
    WriteUnsettled = 1203,
    /// This process became the reader of the platform for its data centre.
    ReaderTaken = 1301,
    /// Another process became the reader of the platform for the data centre.
    ReaderLeft = 1302,
    /// A peer of the data centre sent its first message, or the first after it was lost.
    PeerJoined = 1303,
    /// No message arrived from a peer of the data centre for too long.
    PeerLost = 1304,
    /// A lease was acquired under a new epoch.
    LeaseTaken = 1401,
    /// A lease expired or was acquired by another process.
    LeaseLost = 1402,
    /// A permit was acquired and the drain of an instance started.
    DrainStarted = 1502,
    /// A drain was not permitted.
    DrainRefused = 1503,
    /// A draining instance was seen idle.
    InstanceIdle = 1504,
    /// The reboot of an instance into a pool was ordered.
    RebootOrdered = 1505,
    /// An instance serves again and its permit was released.
    InstanceServing = 1506,
    /// An operator's order to drain or move an instance was stored.
    OrderTaken = 1507,
    /// A backend server is leaving, by the latest evidence.
    ServerLeaving = 1601,
    /// A backend server was ejected after failures.
    ServerAside = 1602,
    /// An ejected backend server receives requests again.
    ServerBack = 1603,
    /// The outcome of a request is unknown.
    RequestUnknown = 1701,
    /// A configuration took effect in this process.
    ConfigurationInForce = 2001,
    /// The table no longer holds the changes since the last poll; all rows are read again.
    HistoryLost = 2002,
    /// A row from another writer can't be decoded.
    RowUnreadable = 2003,
    /// A version of the configuration has a fault that does not keep it from taking effect.
    ConfigurationFault = 2004,
    /// A job was stored and confirmed to its client.
    JobAccepted = 2101,
    /// A job was refused.
    JobRefused = 2102,
    /// The end of a job was committed.
    JobEnded = 2103,
    /// A client's cancellation was committed.
    CancelTaken = 2104,
    /// The state of a job could not be read from the table in time.
    StateUnread = 2105,
    /// A request was denied, as it had no valid key.
    AccessDenied = 2106,
    /// The table does not accept a row as it is; the fields hold what happens next.
    WriteRejected = 2107,
    /// The terms of a job's queue are not known.
    TermsUnknown = 2108,
    /// A job that was not stored was cancelled, and will not be stored later.
    JobWithdrawn = 2109,
    /// A job stays in the table, as the holder of its cell has no memory for it.
    JobParked = 2110,
    /// A job that stayed in the table was read.
    JobUnparked = 2111,
    /// A start was sent to an executor; the fields hold the outcome.
    StartSent = 2201,
    /// A stop was sent to an executor; the fields hold the outcome.
    StopSent = 2202,
    /// A change of a run's pace was not confirmed by its executor.
    PaceLost = 2203,
    /// The adviser was asked which executors may run a step.
    AdviceTaken = 2204,
    /// A run ended without success.
    RunEnded = 2205,
    /// A long-running task has not run for seconds; the fields hold the reasons.
    TaskWaits = 2206,
    /// An executor ended unexpectedly; the fields hold the tasks that may have caused it.
    ExecutorCrashed = 2207,
    /// A job was given up, since one of its tasks crashes the executors that start it.
    JobGivenUp = 2208,
    /// A run was released without a reported end, so that its task may start again.
    RunReleased = 2209,
    /// A start was withdrawn at its turn, as what it was decided on had changed; the fields hold what.
    StartWithdrawn = 2210,
    /// An executor answered the cell's lease holder for the first time.
    ExecutorJoined = 2301,
    /// An executor did not answer, was replaced by another incarnation or left the machine list.
    ExecutorSilent = 2302,
    /// An executor that is leaving has no runs left.
    ExecutorEmptied = 2303,
    /// Ends of a former holder's runs were acknowledged to their executor, which may forget them.
    EndsAcknowledged = 2304,
    /// All ends have been read of an executor that could not list them in its first answer.
    EndsRead = 2305,
    /// This process acquired the lease of a cell.
    CellTaken = 2401,
    /// The jobs of a cell were read from the table and its scheduler runs.
    CellReady = 2402,
    /// This process no longer holds the lease of a cell.
    CellLost = 2403,
    /// This process handed over a cell.
    CellReleased = 2404,
    /// Use of a cell's capacity, reported once a second while the cell has jobs.
    CellLoad = 2405,
    /// This process became a candidate for holding cells, or resigned.
    StandbyChanged = 2406,
    /// Executors could not be added to a cell's roster and get no tasks yet.
    RosterIncomplete = 2407,
    /// The jobs of a cell are being read from the table, reported once a second.
    CellReading = 2408,
    /// The operator ordered a maintenance wave.
    WaveSeen = 2501,
    /// A machine was ordered down for its maintenance.
    UpkeepOrdered = 2502,
    /// A machine returned from its maintenance.
    MachineBack = 2503,
    /// The progress of a maintenance wave was reported to the operator.
    WaveReported = 2504,
    /// A machine was ordered into another pool.
    MoveOrdered = 2505,
    /// A round of the fleet's duties was not completed.
    DutyDelayed = 2506,
    /// Machine moves were planned because pools have fewer or more machines than they need.
    SharesChanged = 2507,
    /// Durations of the phases of a round of the fleet's duties.
    FleetRound = 2508,
    /// The forecast of the pools' peaks has changed, or machines moved ahead of a peak.
    PeakForecast = 2509,
    /// Use of an organisation's limit in a cell, reported once a second while its tasks wait.
    OrganisationLoad = 2601,
    /// Grants of cells that are not configured and have no holder were removed.
    GrantsFreed = 2602,
}

impl Event {
    /// Returns the number of the event, which log lines print after an `E`.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(base::Event::Ready.number(), 1001);
    /// assert_eq!(base::Event::Ready.to_string(), "ready");
    /// ```
    pub fn number(self) -> u16 {
        self as u16
    }
}
