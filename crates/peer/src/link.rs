//! Connections to other processes, opened when needed and dropped when they fail.

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

use crate::service::{Answer, FRAME_LIMIT, ForwardedRequest, PeerClient};
use crate::wire::GossipMessage;

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that an exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// A message that was not answered.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection, so nothing was sent.
    #[snafu(display("no connection to {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// No answer; the message may have arrived.
    #[snafu(display("no answer from {address}: {source}"))]
    Lost {
        /// Address of the peer.
        address: SocketAddr,
        /// What was seen.
        source: tarpc::client::RpcError,
    },
    /// The peer takes no requests.
    #[snafu(display("{address} takes no requests"))]
    NoRequestHandler {
        /// Address of the peer.
        address: SocketAddr,
    },
}

/// Connections by address; copies share them.
#[derive(Debug, Clone, Default)]
pub struct Links {
    clients: Arc<Mutex<HashMap<SocketAddr, PeerClient>>>,
}

impl Links {
    /// Tells a peer news and gets its news.
    ///
    /// # Errors
    ///
    /// When there was no answer in time.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        news: GossipMessage,
    ) -> Result<GossipMessage, Error> {
        let client = self.client(address).await.context(ConnectSnafu { address })?;
        let answer = client.exchange(limited(EXCHANGE_TIMEOUT), news).await;
        self.judge(address, answer)
    }

    /// Hands a request to its owner and waits for `limit` at most.
    ///
    /// # Errors
    ///
    /// When there was no answer; [`Error::Connect`] and [`Error::NoRequestHandler`] mean that it did not run.
    pub async fn submit(
        &self,
        address: SocketAddr,
        submit: ForwardedRequest,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let client = self.client(address).await.context(ConnectSnafu { address })?;
        let answer = client.submit(limited(limit), submit).await;
        self.judge(address, answer)?.context(NoRequestHandlerSnafu { address })
    }

    fn judge<T>(
        &self,
        address: SocketAddr,
        answer: Result<T, tarpc::client::RpcError>,
    ) -> Result<T, Error> {
        if answer.is_err() {
            self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
        }
        answer.context(LostSnafu { address })
    }

    async fn client(&self, address: SocketAddr) -> std::io::Result<PeerClient> {
        let held =
            self.clients.lock().unwrap_or_else(PoisonError::into_inner).get(&address).cloned();
        if let Some(client) = held {
            return Ok(client);
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(FRAME_LIMIT);
        let transport = tarpc::serde_transport::new(Framed::new(stream, codec), Bincode::default());
        let client = PeerClient::new(tarpc::client::Config::default(), transport).spawn();
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.insert(address, client.clone());
        Ok(client)
    }
}

fn limited(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
