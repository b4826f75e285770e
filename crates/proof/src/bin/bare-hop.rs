//! Baseline: a hop that passes every request on and decides nothing.

use std::net::SocketAddr;

use actix_web::web::{Bytes, Data};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Where requests go.
        required target: SocketAddr
    };
    let target = flags.target;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(awc::Client::default()))
            .app_data(Data::new(target))
            .default_service(web::to(pass))
    });
    let server = server.workers(1).bind(("127.0.0.1", 0))?;
    println!("ready {}", server.addrs()[0]);
    server.run().await
}

async fn pass(
    client: Data<awc::Client>,
    target: Data<SocketAddr>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let url = format!("http://{}{}", target.get_ref(), request.uri());
    let sent = client.request(request.method().clone(), url).send_body(body).await;
    let Ok(mut response) = sent else { return HttpResponse::BadGateway().finish() };
    match response.body().await {
        Ok(body) => HttpResponse::build(response.status()).body(body),
        Err(_) => HttpResponse::BadGateway().finish(),
    }
}
