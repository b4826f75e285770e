//! Exchanges facts with peers, periodically and whenever this process has a change to push.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use tokio::task::JoinHandle;

use crate::facts::Facts;
use crate::link::Links;
use crate::wire::Watermarks;

/// Interval between exchanges with a peer when there is no change to push.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Running gossip task of a process.
#[derive(Debug)]
pub struct Gossip {
    task: JoinHandle<()>,
}

impl Gossip {
    /// Starts to exchange facts with peers.
    ///
    /// The `seeds` are contacted while there is no other target or the platform does not answer.
    pub fn spawn(facts: Facts, links: Links, seeds: Vec<SocketAddr>) -> Self {
        Self { task: tokio::spawn(run(facts, links, seeds)) }
    }

    /// Stops the exchange of facts.
    pub fn close(self) {
        self.task.abort();
    }
}

/// Watermarks in the last reply of each peer, by address.
type PeerWatermarks = Arc<Mutex<HashMap<SocketAddr, Watermarks>>>;

async fn run(facts: Facts, links: Links, seeds: Vec<SocketAddr>) {
    let peer_watermarks = PeerWatermarks::default();
    loop {
        let targets = targets(&facts, &seeds);
        // Only one peer is asked for a complete reply, to avoid receiving many copies at once.
        let complete_replier = targets.iter().choose(&mut rand::rng()).copied();
        for address in targets {
            let reply_complete = complete_replier == Some(address);
            tokio::spawn(exchange(
                facts.clone(),
                links.clone(),
                peer_watermarks.clone(),
                address,
                reply_complete,
            ));
        }
        tokio::select! {
            () = tokio::time::sleep(EXCHANGE_INTERVAL) => {}
            () = facts.push_requested() => {}
        }
        facts.expire_members(Instant::now());
    }
}

async fn exchange(
    facts: Facts,
    links: Links,
    peer_watermarks: PeerWatermarks,
    address: SocketAddr,
    reply_complete: bool,
) {
    let base =
        peer_watermarks.lock().unwrap_or_else(PoisonError::into_inner).get(&address).cloned();
    // Only the reader sends complete messages on its own, and only once a reply has given the
    // peer's watermarks. Other messages request the reply and push observations.
    let complete = base.is_some() && facts.lock().is_reader();
    let message = facts.build_message(&base.unwrap_or_default(), complete, reply_complete);
    match links.exchange(address, message).await {
        Ok(reply) => {
            peer_watermarks
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(address, reply.watermarks.clone());
            facts.apply_message(reply, Instant::now());
        }
        Err(error) => {
            // The next process at this address may start without any facts.
            peer_watermarks.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
            log::debug!("gossip exchange failed: {error}");
        }
    }
}

/// Returns the peers to exchange facts with.
///
/// These are all other members of the data centre, also lost ones. The reader adds one random
/// member of another data centre, and so does every process that the platform does not answer.
/// Seeds are added if there is no other target or the platform does not answer.
fn targets(facts: &Facts, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let state = facts.lock();
    let members = || state.members.values().map(|known| &known.member);
    let centre = &state.me.centre;
    let mut targets: Vec<_> =
        members().filter(|member| member.centre == *centre).map(|member| member.peer).collect();
    // The reader keeps its data centre consistent with the others, one remote member at a time.
    if state.platform_unreachable || state.is_reader() {
        let remote = members().filter(|member| member.centre != *centre).map(|member| member.peer);
        targets.extend(remote.choose(&mut rand::rng()));
    }
    if state.platform_unreachable || targets.is_empty() {
        targets.extend(seeds.iter().filter(|seed| **seed != state.me.peer));
    }
    targets.sort_unstable();
    targets.dedup();
    targets
}
