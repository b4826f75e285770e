//! HTTP API of the control process for operators.

pub mod contracts;
pub mod instances;
pub mod plans;
pub mod writes;

use actix_web::{HttpResponse, web};
use peer::Facts;

/// Adds the routes that all daemons have and those of the control process.
pub fn routes(config: &mut web::ServiceConfig) {
    base::admin::routes(config);
    config
        .route("/status", web::get().to(status))
        .route("/contracts", web::get().to(contracts::list))
        .route("/contracts/{customer}", web::get().to(contracts::show))
        .route("/contracts/{customer}", web::put().to(contracts::apply))
        .route("/contracts/{customer}", web::delete().to(contracts::delete))
        .route("/contracts/{customer}/history", web::get().to(contracts::history))
        .route("/plan/{customer}", web::get().to(plans::show))
        .route("/fleet", web::get().to(instances::fleet))
        .route("/why/{instance}", web::get().to(instances::why))
        .route("/orders/{instance}", web::put().to(instances::order));
}

/// Shows the state of this process and its list of other processes.
async fn status(facts: web::Data<Facts>) -> HttpResponse {
    HttpResponse::Ok().json(facts.status())
}
