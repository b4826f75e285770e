//! Stand-in of the platform: table, object store, instance list and pools, with fault switches.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::{ETAG, IF_NONE_MATCH};
use actix_web::middleware::{Next, from_fn};
use actix_web::web::{Data, Json, Path, Query};
use actix_web::{App, Error, HttpRequest, HttpResponse, HttpServer, web};
use platform::wire::{
    CommitRequest, CommitResponse, DrainRequest, ReadRequest, RebootRequest, WireListedInstance,
};
use serde::{Deserialize, Serialize};
use standin::backend::now_ms;
use standin::faults::Faults;
use standin::instances::Instances;
use standin::objects::Objects;
use standin::record::Step;
use standin::table::Table;

/// Time that a reboot takes when no flag names one.
const REBOOT_MS: u64 = 300;
/// Largest body, in bytes.
const BODY_LIMIT: usize = 64 << 20;

#[derive(Default)]
struct State {
    table: Table,
    objects: Objects,
    instances: Instances,
    faults: Faults,
    reboot: Duration,
    steps: Vec<Step>,
}

impl State {
    fn step(&mut self, line: &WireListedInstance, what: &str) {
        let (id, pool) = (line.id.clone(), line.pool.clone());
        self.steps.push(Step { at_ms: now_ms(), id, what: what.to_owned(), pool });
    }
}

type Shared = Data<Mutex<State>>;

#[derive(Deserialize)]
struct Prefix {
    #[serde(default)]
    prefix: String,
}

#[derive(Deserialize)]
struct Centre {
    #[serde(default)]
    centre: String,
}

#[derive(Serialize)]
struct Counts {
    reads: u64,
    rows: u64,
    writes: u64,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on.
        optional --listen listen: SocketAddr
        /// Milliseconds that a reboot takes.
        optional --reboot-ms reboot_ms: u64
    };
    let listen = flags.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let reboot = Duration::from_millis(flags.reboot_ms.unwrap_or(REBOOT_MS));
    let state = Data::new(Mutex::new(State { reboot, ..State::default() }));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(BODY_LIMIT))
            .app_data(web::PayloadConfig::default().limit(BODY_LIMIT))
            .wrap(from_fn(inject))
            .configure(routes)
    });
    let server = server.workers(1).bind(listen)?;
    println!("ready {}", server.addrs()[0]);
    server.run().await
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/faults", web::post().to(set_faults))
        .route("/counts", web::get().to(counts))
        .route("/steps", web::get().to(steps))
        .route("/table/read", web::post().to(read))
        .route("/table/commit", web::post().to(commit))
        .route("/objects", web::get().to(names))
        .route("/objects/{name:.*}", web::get().to(fetch))
        .route("/objects/{name:.*}", web::put().to(store))
        .route("/instances", web::get().to(list))
        .route("/instances", web::post().to(enter))
        .route("/instances/many", web::post().to(enter_many))
        .route("/instances/{id}", web::delete().to(remove))
        .route("/instances/{id}/drain", web::post().to(drain))
        .route("/instances/{id}/reboot", web::post().to(reboot));
}

/// Applies the fault switches to everything but the switches themselves.
async fn inject(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let path = request.path().to_owned();
    if ["/faults", "/counts", "/steps"].contains(&path.as_str()) {
        return Ok(next.call(request).await?.map_into_boxed_body());
    }
    let state = request.app_data::<Shared>().cloned();
    let faults = state.as_ref().map(|state| lock(state).faults.clone()).unwrap_or_default();
    if faults.down {
        let answer = HttpResponse::ServiceUnavailable().body("the platform is down");
        return Ok(request.into_response(answer));
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(faults.delay()).await;
    }
    let response = next.call(request).await?.map_into_boxed_body();
    if path == "/table/commit" && faults.lose_answers > 0 && response.status().is_success() {
        if let Some(state) = state {
            lock(&state).faults.lose_answers -= 1;
        }
        let answer = HttpResponse::GatewayTimeout().body("the answer was lost");
        return Ok(response.into_response(answer));
    }
    Ok(response)
}

fn lock(state: &Shared) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

async fn set_faults(state: Shared, faults: Json<Faults>) -> HttpResponse {
    lock(&state).faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

async fn counts(state: Shared) -> HttpResponse {
    let state = lock(&state);
    HttpResponse::Ok().json(Counts {
        reads: state.table.reads,
        rows: state.table.rows_read,
        writes: state.table.writes,
    })
}

async fn steps(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&state).steps)
}

async fn read(state: Shared, ask: Json<ReadRequest>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).table.read(&ask))
}

async fn commit(state: Shared, ask: Json<CommitRequest>) -> HttpResponse {
    match lock(&state).table.commit(&ask) {
        Ok(version) => HttpResponse::Ok().json(CommitResponse { version }),
        Err(rows) => HttpResponse::Conflict().json(rows),
    }
}

async fn names(state: Shared, query: Query<Prefix>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).objects.names(&query.prefix))
}

async fn fetch(state: Shared, name: Path<String>) -> HttpResponse {
    match lock(&state).objects.0.get(name.as_str()) {
        Some(body) => HttpResponse::Ok().body(body.clone()),
        None => HttpResponse::NotFound().body("no such object"),
    }
}

async fn store(state: Shared, name: Path<String>, body: String) -> HttpResponse {
    lock(&state).objects.0.insert(name.into_inner(), body);
    HttpResponse::Ok().finish()
}

async fn list(state: Shared, request: HttpRequest, query: Query<Centre>) -> HttpResponse {
    let state = lock(&state);
    let lag = Duration::from_millis(state.faults.lag_ms);
    let list = state.instances.list(Instant::now(), lag, &query.centre);
    let body = serde_json::to_string(&list).unwrap_or_default();
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    let tag = format!("\"{:x}\"", hasher.finish());
    if request.headers().get(IF_NONE_MATCH).is_some_and(|known| known.as_bytes() == tag.as_bytes())
    {
        return HttpResponse::NotModified().insert_header((ETAG, tag)).finish();
    }
    HttpResponse::Ok().insert_header((ETAG, tag)).content_type("application/json").body(body)
}

async fn enter(state: Shared, line: Json<WireListedInstance>) -> HttpResponse {
    lock(&state).instances.enter(Instant::now(), line.into_inner());
    HttpResponse::Ok().finish()
}

async fn enter_many(state: Shared, lines: Json<Vec<WireListedInstance>>) -> HttpResponse {
    let (mut state, now) = (lock(&state), Instant::now());
    lines.into_inner().into_iter().for_each(|line| state.instances.enter(now, line));
    HttpResponse::Ok().finish()
}

async fn remove(state: Shared, id: Path<String>) -> HttpResponse {
    if lock(&state).instances.remove(Instant::now(), &id) {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::NotFound().body("no such instance")
}

async fn drain(state: Shared, id: Path<String>, ask: Json<Option<DrainRequest>>) -> HttpResponse {
    let Some(mut line) = lock(&state).instances.find(&id).cloned() else {
        return HttpResponse::NotFound().body("no such instance");
    };
    let wanted = ask.into_inner().and_then(|ask| ask.incarnation);
    if wanted.is_some_and(|wanted| wanted != line.incarnation) {
        return HttpResponse::Conflict().body("the instance has another incarnation");
    }
    if !line.leaving {
        lock(&state).step(&line, "drain");
    }
    line.leaving = true;
    let url = format!("http://{}/standin/drain", line.address);
    lock(&state).instances.enter(Instant::now(), line);
    // The order is the platform's; a backend server that is gone can't hear it.
    let _ = awc::Client::default().post(url).send().await;
    HttpResponse::Ok().finish()
}

async fn reboot(state: Shared, id: Path<String>, ask: Json<RebootRequest>) -> HttpResponse {
    let Some(line) = lock(&state).instances.find(&id).cloned() else {
        return HttpResponse::NotFound().body("no such instance");
    };
    if ask.incarnation.is_some_and(|wanted| wanted != line.incarnation) {
        return HttpResponse::Conflict().body("the instance has another incarnation");
    }
    lock(&state).step(&line, "reboot");
    let wait = lock(&state).reboot;
    actix_web::rt::spawn(restart(state, line, ask.into_inner(), wait));
    HttpResponse::Ok().finish()
}

async fn restart(state: Shared, mut line: WireListedInstance, ask: RebootRequest, wait: Duration) {
    tokio::time::sleep(wait).await;
    // A second order for the same incarnation has no second effect.
    if lock(&state).instances.find(&line.id).is_some_and(|now| now.incarnation > line.incarnation) {
        return;
    }
    let url = format!("http://{}/standin/reboot", line.address);
    let sent = awc::Client::default().post(url).send_json(&ask).await;
    if sent.is_err() {
        return;
    }
    line.pool = ask.pool;
    line.incarnation += 1;
    line.leaving = false;
    lock(&state).step(&line, "back");
    lock(&state).instances.enter(Instant::now(), line);
}
