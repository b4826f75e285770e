//! Stand-in of one backend server instance, with fault switches and a record of what ran.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::web::{Bytes, Data, Json};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use platform::wire::{RebootRequest, WireListedInstance};
use standin::backend::{Backend, Faults, Refused};

/// Slots of an executor.
const SLOTS: u32 = 8;
/// Connections of an executor.
const CONNECTIONS: u32 = 64;
/// Largest body, in bytes.
const BODY_LIMIT: usize = 64 << 20;
/// Pause between two looks at the pause switch.
const PAUSE_POLL: Duration = Duration::from_millis(10);

type Shared = Data<Mutex<Backend>>;

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Name of the instance.
        required --id id: String
        /// Address of the platform stand-in; without it the server is on no list.
        optional --platform platform: SocketAddr
        /// Data centre.
        required --centre centre: String
        /// Rack.
        required --rack rack: String
        /// Pool.
        required --pool pool: String
        /// Executors, 1 when not given.
        optional --executors executors: u32
        /// Address to listen on.
        optional --listen listen: SocketAddr
    };
    let executors = flags.executors.unwrap_or(1);
    let listen = flags.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let backend = Data::new(Mutex::new(Backend::open(&flags.pool, executors, SLOTS)));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(backend.clone())
            .app_data(web::PayloadConfig::default().limit(BODY_LIMIT))
            .configure(routes)
    });
    let limit = (executors * CONNECTIONS) as usize + 64;
    let server = server.workers(1).max_connections(limit).bind(listen)?;
    let address = server.addrs()[0];
    let line = WireListedInstance {
        id: flags.id,
        address,
        centre: flags.centre,
        rack: flags.rack,
        pool: flags.pool,
        incarnation: 1,
        leaving: false,
        executors: vec![(SLOTS, CONNECTIONS); executors as usize],
    };
    let server = server.run();
    if let Some(platform) = flags.platform {
        let url = format!("http://{platform}/instances");
        let sent = awc::Client::default().post(url).send_json(&line).await;
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

fn lock(backend: &Shared) -> MutexGuard<'_, Backend> {
    backend.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn set_faults(backend: Shared, faults: Json<Faults>) -> HttpResponse {
    lock(&backend).faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

async fn record(backend: Shared) -> HttpResponse {
    HttpResponse::Ok().json(lock(&backend).runs())
}

async fn status(backend: Shared) -> HttpResponse {
    HttpResponse::Ok().json(lock(&backend).status())
}

async fn drain(backend: Shared) -> HttpResponse {
    lock(&backend).draining = true;
    HttpResponse::Ok().finish()
}

async fn reboot(backend: Shared, ask: Json<RebootRequest>) -> HttpResponse {
    lock(&backend).reboot(&ask.pool);
    HttpResponse::Ok().finish()
}

/// Runs a request: `X-Work-Ms` says for how long, the answer is the request's body.
async fn work(backend: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    // A task of its own runs to its end even when the caller has gone.
    let task = actix_web::rt::spawn(run(backend, request, body));
    task.await.unwrap_or_else(|_| HttpResponse::InternalServerError().finish())
}

async fn run(backend: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    let header = |name: &str| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    };
    let executor = header("X-Executor").parse().unwrap_or(0);
    let id = header("X-Request-Id");
    let (key, pool) = (header("Idempotency-Key"), header("X-Pool"));
    let begun = lock(&backend).begin(executor, pool, id, key, request.path());
    let run = match begun {
        Ok(run) => run,
        Err(refused) => return refuse(refused),
    };
    let faults = lock(&backend).faults.clone();
    let wanted = header("X-Work-Ms").parse().unwrap_or(0);
    let wait = if faults.fail { 0 } else { wanted + faults.slow_ms };
    if wait > 0 {
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }
    lock(&backend).end(run);
    while lock(&backend).faults.pause {
        tokio::time::sleep(PAUSE_POLL).await;
    }
    if faults.fail {
        return HttpResponse::InternalServerError().body("failed");
    }
    let mut answer = HttpResponse::Ok();
    answer.insert_header(("X-Ran", id));
    if faults.cut {
        let half = body.slice(..body.len() / 2);
        return answer.no_chunking(body.len() as u64).streaming(cut(half));
    }
    answer.body(body)
}

fn refuse(refused: Refused) -> HttpResponse {
    HttpResponse::ServiceUnavailable().insert_header(("X-Refused", refused.text())).finish()
}

/// A body that breaks off.
fn cut(half: Bytes) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    let broken = Err(std::io::Error::other("cut off"));
    futures_util::stream::iter([Ok(half), broken])
}
