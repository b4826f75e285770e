//! Handling of callers' requests; its state lives as long as one request.

pub mod answer;
pub mod attempt;
pub mod handler;
pub mod parse;
pub mod repeatable;

use actix_web::web;

/// Adds the routes for callers.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/_/tickets", web::post().to(handler::issue_ticket))
        .route("/_/requests/{customer}/{key}", web::get().to(handler::fetch_result))
        .default_service(web::to(handler::run_request));
}
