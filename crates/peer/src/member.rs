//! Members of the fleet: the processes of the product that exchange messages.

use std::net::SocketAddr;
use std::time::Instant;

use strum::{Display, EnumString};

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Accepts callers' requests and routes them to backend servers.
    Entry,
    /// Moves instances between pools and stops them for maintenance.
    Control,
}

/// Process of the product.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: String,
    /// Role.
    pub role: Role,
    /// Data centre in which the process runs.
    pub centre: String,
    /// Start time in milliseconds since 1970; distinguishes earlier processes of the same name.
    pub incarnation: u64,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address for operators' requests.
    pub admin: SocketAddr,
    /// Address for messages from other members.
    pub peer: SocketAddr,
}

/// Another member, with its liveness as seen from this process.
#[derive(Debug, Clone)]
pub struct KnownMember {
    /// Member.
    pub member: Member,
    /// Arrival time of its last message; `None` if there was none or the member is lost.
    pub last_seen: Option<Instant>,
    /// Whether its last message reported that the platform does not answer it.
    pub platform_unreachable: bool,
}

/// Returns the hash that orders members for a subject, as in rendezvous hashing.
///
/// Each subject has its own order of members, which spreads the subjects over them. The hash
/// (64-bit FNV-1a) must be the same in every version of the product, because all processes have to
/// compute the same order.
///
/// # Examples
///
/// ```
/// assert_eq!(peer::member::placement_hash("a", "b"), 0xe620_c319_0468_cf61);
/// ```
pub fn placement_hash(subject: &str, member: &str) -> u64 {
    let bytes = subject.bytes().chain([b'/']).chain(member.bytes());
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
