//! Reverse proxy without any decisions, the baseline for the latency of an entry process.

use std::net::SocketAddr;

use actix_web::web::{Bytes, Data};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address that requests are forwarded to.
        required target: SocketAddr
    };
    let target = flags.target;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(awc::Client::default()))
            .app_data(Data::new(target))
            .default_service(web::to(forward))
    });
    let server = server.workers(1).bind(("127.0.0.1", 0))?;
    println!("ready {}", server.addrs()[0]);
    server.run().await
}

async fn forward(
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
