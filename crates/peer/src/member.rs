//! Processes of the product, as they know one another.

use std::net::SocketAddr;
use std::time::Instant;

use strum::{Display, EnumString};

/// Start value of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Decides on pools and maintenance.
    Control,
}

/// One process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Data centre it stands in.
    pub centre: String,
    /// Time of its start, which tells it from an earlier process of the name.
    pub incarnation: u64,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other processes.
    pub peer: SocketAddr,
}

/// A member and when it was last heard of.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// The member.
    pub member: Member,
    /// Last message from it.
    pub last_seen: Option<Instant>,
    /// Whether the platform does not answer it, as it last said.
    pub platform_unreachable: bool,
}

/// Weight of a member for a subject; ordering by it spreads subjects over members.
///
/// The same in every version of the product, as processes have to agree on it.
///
/// # Examples
///
/// ```
/// assert_eq!(peer::member::placement_hash("a", "b"), 0xe620_c319_0468_cf61);
/// ```
pub fn placement_hash(subject: &str, member: &str) -> u64 {
    let bytes = subject.bytes().chain([b'/']).chain(member.bytes());
    bytes.fold(FNV_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
