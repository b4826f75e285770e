//! Callers that hold the memory of an entry process, with little memory for bodies in its settings.
//!
//! Guards against large bodies that stop just short of their end, whose callers stay connected. Nothing
//! depends on times.

use std::time::Duration;

use futures_util::future::join_all;
use proof::{Cluster, Layout};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const CONTRACT: &str = "customer: acme
down: 1
services:
  - name: boards
    pool: boards
    held: 1
    down: 1
    urgency: urgent
    repeat: allowed
    deadline_ms: 60000
    body_kib: 1024
";
/// Number of callers of the crowd.
const CALLERS: usize = 120;
/// Largest body of the service, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Memory for bodies in the settings, in mebibytes.
const BODY_MEMORY_MIB: usize = 16;
/// Required limit for the peak resident memory: that of an entry process, and the memory for bodies.
const MAX_MEMORY_KB: usize = (32 + BODY_MEMORY_MIB) << 10;
/// Time after which a write that the process does not accept counts as refused.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends all but the last byte of a body; returns the connection unless the process has closed it.
async fn hold(address: std::net::SocketAddr, chunked: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let length = if chunked {
        format!("Transfer-Encoding: chunked\r\n\r\n{MAX_BODY_BYTES:x}")
    } else {
        format!("Content-Length: {MAX_BODY_BYTES}\r\n")
    };
    let mut text = format!("POST /acme/boards HTTP/1.1\r\nHost: acme\r\n{length}\r\n").into_bytes();
    text.resize(text.len() + MAX_BODY_BYTES - 1, b' ');
    for part in text.chunks(16 << 10) {
        match tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(part)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
    }
    Some(stream)
}

#[actix::test]
async fn callers_that_hold_their_bodies_do_not_exhaust_the_memory_of_an_entry_process() {
    let layout = Layout {
        entry_settings: format!("body_memory_mib: {BODY_MEMORY_MIB}\n"),
        ..Layout::minimal(&[("boards", 1)])
    };
    let mut cluster = Cluster::start(&layout);
    cluster.apply_contract("acme", CONTRACT, 0).await;
    cluster.wait_for_service("/acme/boards").await;
    let address = cluster.entry_address(0);
    let crowd: Vec<_> = join_all((0..CALLERS).map(|n| hold(address, n % 2 == 0))).await;
    // The request is repeated until it is served.
    cluster.wait_for_service("/acme/boards").await;
    let entry = cluster.entries.values_mut().next().expect("an entry process");
    assert_eq!(entry.exit_code(), None, "the process lives");
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", entry.pid())).expect("a status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    println!("{CALLERS} callers: peak {} MB", peak / 1_024);
    assert!(peak <= MAX_MEMORY_KB, "peak of {peak} kB");
    drop(crowd);
    cluster.wait_for_service("/acme/boards").await;
    let body = " ".repeat(MAX_BODY_BYTES);
    let reply = cluster.client.post(address, "/acme/boards", &[], &body).await;
    assert_eq!(reply.expect("an answer").outcome, "done", "a single body of legal size");
}
