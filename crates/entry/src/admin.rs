//! Admin HTTP routes of the entry process.

use actix_web::{HttpResponse, web};
use base::admin::Status;
use peer::Facts;

/// Adds the common admin routes and those of the entry process.
pub fn routes(config: &mut web::ServiceConfig) {
    base::admin::routes(config);
    config.route("/status", web::get().to(status));
}

async fn status(facts: web::Data<Facts>) -> HttpResponse {
    let status: Status = facts.status();
    HttpResponse::Ok().json(status)
}
