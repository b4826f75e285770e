//! HTTP answers that every daemon gives to operators.

use std::net::SocketAddr;

use actix_web::{HttpResponse, web};
use indexmap::IndexMap;
use prometheus::{Encoder, Registry, TextEncoder};
use serde::{Deserialize, Serialize};
use tokio::signal::unix::{SignalKind, signal};

use crate::timeline::Timeline;

/// Query of `GET /timeline`.
#[derive(Debug, Serialize, Deserialize)]
pub struct TimelineQuery {
    /// Clock after which events are wanted.
    #[serde(default)]
    pub since: u64,
}

/// Body of every refusal that a daemon gives an operator.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What was wrong.
    pub error: String,
    /// Newest revision, when the refused write was stale.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

impl ErrorBody {
    /// Makes a refusal that names no revision.
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

/// Answer to `GET /status` of every daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Name of the process.
    pub name: String,
    /// Role by name.
    pub role: String,
    /// Data centre.
    pub centre: String,
    /// Whether the platform does not answer it.
    #[serde(rename = "away")]
    pub platform_unreachable: bool,
    /// Whether it reads the platform for its data centre.
    #[serde(rename = "reads")]
    pub reads_platform: bool,
    /// Revision in force by customer.
    pub contracts: IndexMap<String, u64>,
    /// Other processes and whether they were heard of lately.
    pub members: Vec<MemberStatus>,
}

/// Another process, as a daemon knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the process.
    pub name: String,
    /// Role by name.
    pub role: String,
    /// Data centre.
    pub centre: String,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Whether it was heard of lately.
    #[serde(rename = "heard")]
    pub live: bool,
}

/// Completes when the process is asked to stop, by SIGTERM or by the terminal.
pub async fn stop_signal() {
    let terminate = signal(SignalKind::terminate());
    match terminate {
        Ok(mut terminate) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
        }
        // Without the handler SIGTERM ends the process at once, as the system's default does.
        Err(_) => drop(tokio::signal::ctrl_c().await),
    }
}

/// Completes when the process is told that its settings have changed.
pub async fn reload_signal(signals: &mut tokio::signal::unix::Signal) {
    if signals.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}

/// The stream of reload signals.
///
/// # Errors
///
/// When the system refuses a handler.
pub fn reload_signals() -> std::io::Result<tokio::signal::unix::Signal> {
    signal(SignalKind::hangup())
}

/// Answers a path that is not there.
pub async fn not_found() -> HttpResponse {
    HttpResponse::NotFound().json(ErrorBody::new("no such path"))
}

/// Adds `/timeline`, `/metrics` and `/health` to a daemon's operator address.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/timeline", web::get().to(timeline))
        .route("/metrics", web::get().to(metrics))
        .route("/health", web::get().to(|| async { HttpResponse::Ok().body("ok\n") }));
}

async fn timeline(line: web::Data<Timeline>, query: web::Query<TimelineQuery>) -> HttpResponse {
    HttpResponse::Ok().json(line.since(query.since))
}

async fn metrics(registry: web::Data<Registry>) -> HttpResponse {
    let mut body = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut body) {
        Ok(()) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(body),
        Err(error) => HttpResponse::InternalServerError().json(ErrorBody::new(error.to_string())),
    }
}
