//! Catalogue of numbered events; docs/EVENTS.md lists the same.

use strum::{Display, EnumIter, IntoStaticStr};

/// Everything that a process records on the time line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// The process takes work; the fields name its addresses.
    Ready = 1001,
    /// The process was asked to stop and finishes what it has.
    Stopping = 1002,
    /// The process ends.
    Stopped = 1003,
    /// The settings were read again.
    SettingsReloaded = 1004,
    /// Log lines of an event were left out in the last second, as there were too many.
    LinesLeftOut = 1005,
    /// A contract change was committed to the table.
    ContractCommitted = 1101,
    /// A contract change was refused.
    ContractRefused = 1102,
    /// A contract revision is in force in this process.
    ContractInForce = 1103,
    /// The table is not answering.
    PlatformAway = 1201,
    /// The table answers again.
    PlatformBack = 1202,
    /// A write's answer was lost and could not be settled in time.
    WriteUnsettled = 1203,
    /// This process reads the table for its data centre.
    ReaderTaken = 1301,
    /// Another process reads the table for the data centre.
    ReaderLeft = 1302,
    /// A peer joined or came back.
    PeerJoined = 1303,
    /// A peer was not heard of for too long.
    PeerLost = 1304,
    /// A lease was taken under a new epoch.
    LeaseTaken = 1401,
    /// A lease lapsed or was taken by another process.
    LeaseLost = 1402,
    /// A permit was taken and an instance drains.
    DrainStarted = 1502,
    /// A drain was not permitted.
    DrainRefused = 1503,
    /// A draining instance was seen idle.
    InstanceIdle = 1504,
    /// An instance was told to reboot into a pool.
    RebootOrdered = 1505,
    /// An instance serves again and its permit was returned.
    InstanceServing = 1506,
    /// An operator ordered a drain or a move.
    OrderTaken = 1507,
    /// A backend server is leaving, by the newest evidence.
    ServerLeaving = 1601,
    /// A backend server was set aside after failures.
    ServerAside = 1602,
    /// A backend server takes work again.
    ServerBack = 1603,
    /// A request's end is not known.
    RequestUnknown = 1701,
    /// A configuration is in force in this process.
    ConfigurationInForce = 2001,
    /// The table has dropped history that was needed; the rows are read whole.
    HistoryLost = 2002,
    /// A row that another writer left can't be read.
    RowUnreadable = 2003,
    /// A job was stored and its client told so.
    JobAccepted = 2101,
    /// A job was refused.
    JobRefused = 2102,
    /// A job's end is durable.
    JobEnded = 2103,
    /// A client's cancel is durable.
    CancelTaken = 2104,
    /// A job's state could not be read from the table in time.
    StateUnread = 2105,
    /// A start was sent to an executor and answered, or not.
    StartSent = 2201,
    /// A stop was sent to an executor and answered, or not.
    StopSent = 2202,
    /// A change of pace was not taken.
    PaceLost = 2203,
    /// The adviser was asked which executors may run a step.
    AdviceTaken = 2204,
    /// A run ended without success.
    RunEnded = 2205,
    /// An executor answered a cell's holder for the first time.
    ExecutorJoined = 2301,
    /// An executor does not answer, or another incarnation does.
    ExecutorSilent = 2302,
    /// An executor that leaves runs nothing any more.
    ExecutorEmptied = 2303,
    /// This process took a cell.
    CellTaken = 2401,
    /// A cell's jobs were read back and its scheduler runs.
    CellReady = 2402,
    /// This process no longer holds a cell.
    CellLost = 2403,
    /// A cell was handed over.
    CellReleased = 2404,
    /// What a cell's room was used for, once a second while there are jobs.
    CellLoad = 2405,
    /// A maintenance wave was ordered by the operator.
    WaveSeen = 2501,
    /// A machine was ordered down for its maintenance.
    UpkeepOrdered = 2502,
    /// A machine is back from its maintenance.
    MachineBack = 2503,
    /// The operator was told how far a wave is.
    WaveReported = 2504,
    /// A machine was ordered into another pool.
    MoveOrdered = 2505,
    /// A round of the fleet's duties could not be finished.
    DutyDelayed = 2506,
    /// Machines are to move, as pools have fewer or more than they need.
    SharesChanged = 2507,
}

impl Event {
    /// Number of the event, as logs print it after an `E`.
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
