//! The service that each process offers the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::task::JoinHandle;

use crate::facts::Facts;
use crate::wire::GossipMessage;

/// Largest message, in bytes.
pub const FRAME_LIMIT: usize = 64 << 20;

/// A request that may not be repeated, on its way to its owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Ticket or claimed key.
    pub key: String,
    /// Incarnation of the owner that the key names.
    pub incarnation: u64,
    /// Customer.
    pub customer: String,
    /// Service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query for the backend server.
    pub path: String,
    /// Headers for the backend server.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Milliseconds that are left.
    pub remaining_ms: u64,
    /// Urgency by name.
    pub urgency: String,
    /// Whether only the result is asked for.
    pub result_only: bool,
}

/// Answer of the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Outcome by name.
    pub outcome: String,
    /// HTTP status.
    pub status: u16,
    /// Headers of the backend server.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Milliseconds to come back after, when it did not run.
    pub retry_after_ms: u64,
    /// Reason, when there is no backend server's answer.
    pub reason: String,
}

/// Takes requests for their owner, which is this process.
pub trait RequestHandler: Send + Sync + 'static {
    /// Runs a request or fetches its result.
    fn submit(&self, submit: ForwardedRequest) -> BoxFuture<'static, Answer>;
}

/// What processes ask of one another.
#[tarpc::service]
pub trait Peer {
    /// Tells news and gets news.
    async fn exchange(news: GossipMessage) -> GossipMessage;
    /// Hands a request to its owner.
    async fn submit(submit: ForwardedRequest) -> Option<Answer>;
}

/// The running service of one process.
#[derive(Debug)]
pub struct Server {
    /// Address it listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

#[derive(Clone)]
struct PeerHandler {
    facts: Facts,
    desk: Option<Arc<dyn RequestHandler>>,
}

impl Peer for PeerHandler {
    async fn exchange(self, _: Context, news: GossipMessage) -> GossipMessage {
        let (have, want) = (news.watermarks.clone(), news.reply_complete);
        self.facts.apply_message(news, Instant::now());
        self.facts.build_message(&have, want, false)
    }

    async fn submit(self, _: Context, submit: ForwardedRequest) -> Option<Answer> {
        match self.desk {
            Some(desk) => Some(desk.submit(submit).await),
            None => None,
        }
    }
}

/// Listener that is bound and not yet serving, so that its address can be told.
#[derive(Debug)]
pub struct BoundListener(std::net::TcpListener);

impl BoundListener {
    /// Address that was bound.
    ///
    /// # Errors
    ///
    /// When the system does not tell it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

impl Server {
    /// Binds an address for a later [`Server::spawn`].
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn bind(address: SocketAddr) -> std::io::Result<BoundListener> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(BoundListener(listener))
    }

    /// Serves peers until it is closed.
    ///
    /// # Errors
    ///
    /// When the listener can't be used.
    pub fn spawn(
        bound: BoundListener,
        facts: Facts,
        desk: Option<Arc<dyn RequestHandler>>,
    ) -> std::io::Result<Self> {
        let address = bound.address()?;
        let listener = tokio::net::TcpListener::from_std(bound.0)?;
        let task = tokio::spawn(accept(listener, PeerHandler { facts, desk }));
        Ok(Self { address, task })
    }

    /// Stops taking messages.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(listener: tokio::net::TcpListener, handler: PeerHandler) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a peer's connection was not taken: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        // Small messages should not wait for one another.
        let _ = stream.set_nodelay(true);
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(FRAME_LIMIT);
        let framed = Framed::new(stream, codec);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(handler.clone().serve());
        tokio::spawn(requests.for_each(|request| async {
            tokio::spawn(request);
        }));
    }
}
