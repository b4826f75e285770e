//! Exchanges facts with peers: at every beat, and at once when news began here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use tokio::task::JoinHandle;

use crate::facts::Facts;
use crate::link::Links;
use crate::wire::Watermarks;

/// Time between two exchanges with a peer when there is no news.
const BEAT: Duration = Duration::from_millis(500);

/// The running exchange of one process.
#[derive(Debug)]
pub struct Gossip {
    task: JoinHandle<()>,
}

impl Gossip {
    /// Starts to exchange facts; `seeds` are asked while no peer is known or the platform is away.
    pub fn spawn(facts: Facts, links: Links, seeds: Vec<SocketAddr>) -> Self {
        Self { task: tokio::spawn(run(facts, links, seeds)) }
    }

    /// Stops.
    pub fn close(self) {
        self.task.abort();
    }
}

/// What each peer held when it was last heard.
type Held = Arc<Mutex<HashMap<SocketAddr, Watermarks>>>;

async fn run(facts: Facts, links: Links, seeds: Vec<SocketAddr>) {
    let held = Held::default();
    loop {
        let targets = targets(&facts, &seeds);
        // One peer at a time is asked for everything, so that copies do not arrive in floods.
        let asked = targets.iter().choose(&mut rand::rng()).copied();
        for address in targets {
            let want = asked == Some(address);
            tokio::spawn(exchange(facts.clone(), links.clone(), held.clone(), address, want));
        }
        tokio::select! {
            () = tokio::time::sleep(BEAT) => {}
            () = facts.push_requested() => {}
        }
        facts.expire_members(Instant::now());
    }
}

async fn exchange(facts: Facts, links: Links, held: Held, address: SocketAddr, want: bool) {
    let have = held.lock().unwrap_or_else(PoisonError::into_inner).get(&address).cloned();
    // The reader brings news; before it knows what a peer holds, it only asks.
    let whole = have.is_some() && facts.lock().is_reader();
    let news = facts.build_message(&have.unwrap_or_default(), whole, want);
    match links.exchange(address, news).await {
        Ok(news) => {
            held.lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(address, news.watermarks.clone());
            facts.apply_message(news, Instant::now());
        }
        Err(error) => {
            // The next process at this address may hold nothing.
            held.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
            log::debug!("{error}");
        }
    }
}

/// Peers to exchange with: all of the data centre, and one elsewhere while the platform is away.
fn targets(facts: &Facts, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let state = facts.lock();
    let members = || state.members.values().map(|known| &known.member);
    let centre = &state.me.centre;
    let mut targets: Vec<_> =
        members().filter(|each| each.centre == *centre).map(|each| each.peer).collect();
    // One process of a data centre keeps it in step with the others, one at a time.
    if state.platform_unreachable || state.is_reader() {
        let far = members().filter(|each| each.centre != *centre).map(|each| each.peer);
        targets.extend(far.choose(&mut rand::rng()));
    }
    if state.platform_unreachable || targets.is_empty() {
        targets.extend(seeds.iter().filter(|seed| **seed != state.me.peer));
    }
    targets.sort_unstable();
    targets.dedup();
    targets
}
