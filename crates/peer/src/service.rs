//! RPC service that each process offers to its peers.
//!
//! Renamed fields keep their earlier names in the serialized form, should the messages ever be sent
//! in a self-describing format.

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

/// Maximum size of a message, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Request that must not be repeated, in the form in which it is forwarded to its owner.
///
/// The owner is the only process that may run the request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Ticket, or idempotency key that the caller chose.
    pub key: String,
    /// Incarnation of the owner to which the request is forwarded; any other rejects it.
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
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time left until the deadline, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    /// Name of the urgency.
    pub urgency: String,
    /// Whether to return the result of an earlier run only, without running the request.
    #[serde(rename = "ask")]
    pub result_only: bool,
}

/// Answer of the owner to a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// Name of the outcome.
    pub outcome: String,
    /// HTTP status code.
    pub status: u16,
    /// Headers of the backend server.
    pub headers: Vec<(String, String)>,
    /// Body of the answer.
    pub body: Vec<u8>,
    /// Delay before a retry, in milliseconds, if the request did not run; otherwise 0.
    #[serde(rename = "retry_ms")]
    pub retry_after_ms: u64,
    /// Reason why there is no answer of a backend server; empty if there is one.
    pub reason: String,
}

/// Handler for requests that peers forward to this process as their owner.
pub trait RequestHandler: Send + Sync + 'static {
    /// Runs a request or returns its earlier result.
    fn submit(&self, request: ForwardedRequest) -> BoxFuture<'static, Answer>;
}

/// RPC interface between processes.
#[tarpc::service]
pub trait Peer {
    /// Sends a gossip message and returns the reply.
    async fn exchange(message: GossipMessage) -> GossipMessage;
    /// Forwards a request to its owner; returns `None` if the process accepts no requests.
    async fn submit(request: ForwardedRequest) -> Option<Answer>;
}

/// Running RPC server of a process.
#[derive(Debug)]
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

/// Implementation of the RPC interface, cloned for every connection.
#[derive(Clone)]
struct PeerHandler {
    facts: Facts,
    request_handler: Option<Arc<dyn RequestHandler>>,
}

impl Peer for PeerHandler {
    async fn exchange(self, _: Context, message: GossipMessage) -> GossipMessage {
        let (watermarks, reply_complete) = (message.watermarks.clone(), message.reply_complete);
        self.facts.apply_message(message, Instant::now());
        self.facts.build_message(&watermarks, reply_complete, false)
    }

    async fn submit(self, _: Context, request: ForwardedRequest) -> Option<Answer> {
        match self.request_handler {
            Some(handler) => Some(handler.submit(request).await),
            None => None,
        }
    }
}

/// Listener that is bound but does not serve yet.
///
/// Its address is needed for the process's own member record before the server can start.
#[derive(Debug)]
pub struct BoundListener(std::net::TcpListener);

impl BoundListener {
    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

impl Server {
    /// Binds an address for a later [`Server::spawn`].
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> std::io::Result<BoundListener> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(BoundListener(listener))
    }

    /// Serves peers until the server is closed.
    ///
    /// Without a `request_handler`, the server declines forwarded requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be used.
    pub fn spawn(
        bound: BoundListener,
        facts: Facts,
        request_handler: Option<Arc<dyn RequestHandler>>,
    ) -> std::io::Result<Self> {
        let address = bound.address()?;
        let listener = tokio::net::TcpListener::from_std(bound.0)?;
        let task = tokio::spawn(accept(listener, PeerHandler { facts, request_handler }));
        Ok(Self { address, task })
    }

    /// Stops accepting connections.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(listener: tokio::net::TcpListener, handler: PeerHandler) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("failed to accept a peer connection: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        // Nagle's algorithm would delay small messages until earlier ones are acknowledged.
        let _ = stream.set_nodelay(true);
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME_BYTES);
        let framed = Framed::new(stream, codec);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(handler.clone().serve());
        tokio::spawn(requests.for_each(|request| async {
            tokio::spawn(request);
        }));
    }
}
