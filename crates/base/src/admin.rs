//! HTTP routes, response bodies and process signals that the daemons share.

use std::net::SocketAddr;

use actix_web::{HttpResponse, web};
use indexmap::IndexMap;
use prometheus::{Encoder, Registry, TextEncoder};
use serde::{Deserialize, Serialize};
use tokio::signal::unix::{SignalKind, signal};

use crate::timeline::Timeline;

/// Query string of `GET /timeline`.
#[derive(Debug, Serialize, Deserialize)]
pub struct TimelineQuery {
    /// Logical clock; only events with a higher clock are returned.
    #[serde(default)]
    pub since: u64,
}

/// Body of every error response to an operator.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Message for the operator.
    pub error: String,
    /// Latest revision, present when the change was based on another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

impl ErrorBody {
    /// Creates an error body without a revision.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(base::admin::ErrorBody::new("unknown instance").revision.is_none());
    /// ```
    pub fn new(error: impl Into<String>) -> Self {
        Self { error: error.into(), revision: None }
    }
}

/// Response to `GET /status` of an entry or control process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Name of the process.
    pub name: String,
    /// Role of the process: `entry` or `control`.
    pub role: String,
    /// Data centre of the process.
    pub centre: String,
    /// Whether the platform does not answer this process.
    #[serde(rename = "away")]
    pub platform_unreachable: bool,
    /// Whether this process reads the platform on behalf of its data centre.
    #[serde(rename = "reads")]
    pub reads_platform: bool,
    /// Revision of the contract in force, by customer.
    pub contracts: IndexMap<String, u64>,
    /// Other processes that this process has in its member list.
    pub members: Vec<MemberStatus>,
}

/// Entry of the member list in [`Status`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the process.
    pub name: String,
    /// Role of the process: `entry` or `control`.
    pub role: String,
    /// Data centre of the process.
    pub centre: String,
    /// Address for operators, which serves `/status` and `/timeline`.
    pub admin: SocketAddr,
    /// Whether a message from the process arrived recently.
    #[serde(rename = "heard")]
    pub live: bool,
}

/// Completes when the process receives SIGTERM or SIGINT.
pub async fn stop_signal() {
    let terminate = signal(SignalKind::terminate());
    match terminate {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        // SIGTERM has no handler, so its default action ends the process at once.
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}

/// Completes at the next SIGHUP, the request to read the settings again.
///
/// Never completes once the stream has ended.
pub async fn reload_signal(signals: &mut tokio::signal::unix::Signal) {
    if signals.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Installs the SIGHUP handler and returns its stream of signals.
///
/// # Errors
///
/// Returns the operating system's error if the handler can't be installed.
pub fn reload_signals() -> std::io::Result<tokio::signal::unix::Signal> {
    signal(SignalKind::hangup())
}

/// Responds with 404 to a path without a route.
pub async fn not_found() -> HttpResponse {
    HttpResponse::NotFound().json(ErrorBody::new("no such path"))
}

/// Adds the routes `/timeline`, `/metrics` and `/health`.
///
/// The application data must contain the process's [`Timeline`] and [`Registry`].
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/timeline", web::get().to(timeline))
        .route("/metrics", web::get().to(metrics))
        .route("/health", web::get().to(|| async { HttpResponse::Ok().body("ok\n") }));
}

async fn timeline(timeline: web::Data<Timeline>, query: web::Query<TimelineQuery>) -> HttpResponse {
    HttpResponse::Ok().json(timeline.since(query.since))
}

async fn metrics(registry: web::Data<Registry>) -> HttpResponse {
    let mut body = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut body) {
        Ok(()) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(body),
        Err(error) => HttpResponse::InternalServerError().json(ErrorBody::new(error.to_string())),
    }
}
