//! Connections to other processes, opened on demand and discarded when a call fails.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use snafu::{OptionExt, ResultExt, Snafu};
use tarpc::context::{self, Context};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::service::{Answer, ForwardedRequest, MAX_FRAME_BYTES, PeerClient};
use crate::wire::GossipMessage;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for an exchange of gossip messages.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Error for a call to a peer that did not return an answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be established, so nothing was sent.
    #[snafu(display("failed to connect to peer {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the operating system; of kind `TimedOut` after the time limit.
        source: std::io::Error,
    },
    /// No answer arrived; the peer may have processed the message.
    #[snafu(display("no answer from peer {address}: {source}"))]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the RPC client.
        source: tarpc::client::RpcError,
    },
    /// The peer accepts no requests, because it has no request handler.
    #[snafu(display("peer {address} accepts no requests"))]
    NoRequestHandler {
        /// Address of the peer.
        address: SocketAddr,
    },
}

/// Connections to peers, by address; clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct Links {
    clients: Arc<Mutex<HashMap<SocketAddr, PeerClient>>>,
}

impl Links {
    /// Sends a gossip message to a peer and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrives within the time limit.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        message: GossipMessage,
    ) -> Result<GossipMessage, Error> {
        let client = self.client(address).await.context(ConnectSnafu { address })?;
        let answer = client.exchange(context_with_timeout(EXCHANGE_TIMEOUT), message).await;
        self.discard_on_error(address, answer)
    }

    /// Forwards a request to its owner and waits for the answer for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer. After [`Error::Connect`] or
    /// [`Error::NoRequestHandler`], the request did not run.
    pub async fn submit(
        &self,
        address: SocketAddr,
        request: ForwardedRequest,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let client = self.client(address).await.context(ConnectSnafu { address })?;
        let answer = client.submit(context_with_timeout(limit), request).await;
        self.discard_on_error(address, answer)?.context(NoRequestHandlerSnafu { address })
    }

    /// Discards the connection if the call failed, so that the next call opens a new one.
    fn discard_on_error<T>(
        &self,
        address: SocketAddr,
        answer: Result<T, tarpc::client::RpcError>,
    ) -> Result<T, Error> {
        if answer.is_err() {
            self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
        }
        answer.context(NoAnswerSnafu { address })
    }

    async fn client(&self, address: SocketAddr) -> std::io::Result<PeerClient> {
        let existing =
            self.clients.lock().unwrap_or_else(PoisonError::into_inner).get(&address).cloned();
        if let Some(client) = existing {
            return Ok(client);
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME_BYTES);
        let transport = tarpc::serde_transport::new(Framed::new(stream, codec), Bincode::default());
        let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.insert(address, client.clone());
        Ok(client)
    }
}

fn context_with_timeout(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
