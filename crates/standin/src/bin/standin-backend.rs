//! Stand-in for a backend server instance, with fault injection and a record of its runs.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::web::{Bytes, Data, Json};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use platform::wire::{RebootRequest, WireListedInstance};
use standin::backend::{Backend, Faults, RefusalReason};

/// Number of requests that an executor runs at once.
const SLOTS_PER_EXECUTOR: u32 = 8;
/// Number of connections that an executor accepts.
const CONNECTIONS_PER_EXECUTOR: u32 = 64;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Interval at which a held-back response polls the pause fault.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

type SharedBackend = Data<Mutex<Backend>>;

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Name of the instance.
        required --id id: String
        /// Address of the platform stand-in; without it, the instance is not listed.
        optional --platform platform: SocketAddr
        /// Data centre of the instance.
        required --centre centre: String
        /// Rack of the instance.
        required --rack rack: String
        /// Pool that the instance serves.
        required --pool pool: String
        /// Number of executors; 1 by default.
        optional --executors executors: u32
        /// Address to listen on; a free local port by default.
        optional --listen listen: SocketAddr
    };
    let executors = flags.executors.unwrap_or(1);
    let listen = flags.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let backend = Data::new(Mutex::new(Backend::new(&flags.pool, executors, SLOTS_PER_EXECUTOR)));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(backend.clone())
            .app_data(web::PayloadConfig::default().limit(MAX_BODY_BYTES))
            .configure(routes)
    });
    let max_connections = (executors * CONNECTIONS_PER_EXECUTOR) as usize + 64;
    let server = server.workers(1).max_connections(max_connections).bind(listen)?;
    let address = server.addrs()[0];
    let instance = WireListedInstance {
        id: flags.id,
        address,
        centre: flags.centre,
        rack: flags.rack,
        pool: flags.pool,
        incarnation: 1,
        leaving: false,
        executors: vec![(SLOTS_PER_EXECUTOR, CONNECTIONS_PER_EXECUTOR); executors as usize],
    };
    let server = server.run();
    if let Some(platform) = flags.platform {
        let url = format!("http://{platform}/instances");
        let sent = awc::Client::default().post(url).send_json(&instance).await;
        sent.map_err(|error| std::io::Error::other(error.to_string()))?;
    }
    println!("ready {address}");
    server.await
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/standin/faults", web::post().to(set_faults))
        .route("/standin/record", web::get().to(record))
        .route("/standin/drain", web::post().to(drain))
        .route("/standin/reboot", web::post().to(reboot))
        .route("/status", web::get().to(status))
        .default_service(web::to(work));
}

fn lock(backend: &SharedBackend) -> MutexGuard<'_, Backend> {
    backend.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn set_faults(backend: SharedBackend, faults: Json<Faults>) -> HttpResponse {
    lock(&backend).faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

async fn record(backend: SharedBackend) -> HttpResponse {
    HttpResponse::Ok().json(lock(&backend).runs())
}

async fn status(backend: SharedBackend) -> HttpResponse {
    HttpResponse::Ok().json(lock(&backend).status())
}

async fn drain(backend: SharedBackend) -> HttpResponse {
    lock(&backend).draining = true;
    HttpResponse::Ok().finish()
}

async fn reboot(backend: SharedBackend, request: Json<RebootRequest>) -> HttpResponse {
    lock(&backend).reboot(&request.pool);
    HttpResponse::Ok().finish()
}

/// Runs a request for the time in `X-Work-Ms` and responds with the request's body.
async fn work(backend: SharedBackend, request: HttpRequest, body: Bytes) -> HttpResponse {
    // A separate task finishes the run even if the caller disconnects.
    let task = actix_web::rt::spawn(run(backend, request, body));
    task.await.unwrap_or_else(|_| HttpResponse::InternalServerError().finish())
}

async fn run(backend: SharedBackend, request: HttpRequest, body: Bytes) -> HttpResponse {
    let header = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    };
    let executor = header("X-Executor").parse().unwrap_or(0);
    let id = header("X-Request-Id");
    let (key, pool) = (header("Idempotency-Key"), header("X-Pool"));
    let result = lock(&backend).begin(executor, pool, id, key, request.path());
    let run = match result {
        Ok(run) => run,
        Err(reason) => return refuse(reason),
    };
    let faults = lock(&backend).faults.clone();
    let work_ms = header("X-Work-Ms").parse().unwrap_or(0);
    let run_ms = if faults.fail { 0 } else { work_ms + faults.slow_ms };
    if run_ms > 0 {
        tokio::time::sleep(Duration::from_millis(run_ms)).await;
    }
    lock(&backend).end(run);
    while lock(&backend).faults.pause {
        tokio::time::sleep(PAUSE_POLL_INTERVAL).await;
    }
    if faults.fail {
        return HttpResponse::InternalServerError().body("failed");
    }
    let mut response = HttpResponse::Ok();
    response.insert_header(("X-Ran", id));
    if faults.cut {
        let half = body.slice(..body.len() / 2);
        return response.no_chunking(body.len() as u64).streaming(truncated(half));
    }
    response.body(body)
}

fn refuse(reason: RefusalReason) -> HttpResponse {
    HttpResponse::ServiceUnavailable().insert_header(("X-Refused", reason.as_str())).finish()
}

/// Returns a body that ends with an error after its first half.
fn truncated(half: Bytes) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    let error = Err(std::io::Error::other("cut off"));
    futures_util::stream::iter([Ok(half), error])
}
