//! Stand-in for the platform: table, object store and instance list, with fault injection.

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

/// Default duration of a reboot, in milliseconds.
const DEFAULT_REBOOT_MS: u64 = 300;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

#[derive(Default)]
struct State {
    table: Table,
    objects: Objects,
    instances: Instances,
    faults: Faults,
    reboot_duration: Duration,
    steps: Vec<Step>,
}

impl State {
    fn record_step(&mut self, instance: &WireListedInstance, kind: &str) {
        let (id, pool) = (instance.id.clone(), instance.pool.clone());
        self.steps.push(Step { at_ms: now_ms(), id, what: kind.to_owned(), pool });
    }
}

type SharedState = Data<Mutex<State>>;

/// Query string of `GET /objects`.
#[derive(Deserialize)]
struct ObjectsQuery {
    #[serde(default)]
    prefix: String,
}

/// Query string of `GET /instances`.
#[derive(Deserialize)]
struct InstancesQuery {
    #[serde(default)]
    centre: String,
}

/// Response to `GET /counts`.
#[derive(Serialize)]
struct Counts {
    /// Number of table reads.
    reads: u64,
    /// Number of rows that these reads returned.
    rows: u64,
    /// Number of commits.
    writes: u64,
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on; a free local port by default.
        optional --listen listen: SocketAddr
        /// Duration of a reboot in milliseconds; 300 by default.
        optional --reboot-ms reboot_ms: u64
    };
    let listen = flags.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let reboot_duration = Duration::from_millis(flags.reboot_ms.unwrap_or(DEFAULT_REBOOT_MS));
    let state = Data::new(Mutex::new(State { reboot_duration, ..State::default() }));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .app_data(web::PayloadConfig::default().limit(MAX_BODY_BYTES))
            .wrap(from_fn(inject_faults))
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
        .route("/table/read", web::post().to(read_table))
        .route("/table/commit", web::post().to(commit_table))
        .route("/objects", web::get().to(list_objects))
        .route("/objects/{name:.*}", web::get().to(get_object))
        .route("/objects/{name:.*}", web::put().to(put_object))
        .route("/instances", web::get().to(list_instances))
        .route("/instances", web::post().to(add_instance))
        .route("/instances/many", web::post().to(add_instances))
        .route("/instances/{id}", web::delete().to(remove_instance))
        .route("/instances/{id}/drain", web::post().to(drain))
        .route("/instances/{id}/reboot", web::post().to(reboot));
}

/// Injects the faults into the platform's routes, but not into those that control the stand-in.
async fn inject_faults(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let path = request.path().to_owned();
    if ["/faults", "/counts", "/steps"].contains(&path.as_str()) {
        return Ok(next.call(request).await?.map_into_boxed_body());
    }
    let state = request.app_data::<SharedState>().cloned();
    let faults = state.as_ref().map(|state| lock(state).faults.clone()).unwrap_or_default();
    if faults.down {
        let response = HttpResponse::ServiceUnavailable().body("the platform is down");
        return Ok(request.into_response(response));
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(faults.delay()).await;
    }
    let response = next.call(request).await?.map_into_boxed_body();
    if path == "/table/commit" && faults.lose_answers > 0 && response.status().is_success() {
        if let Some(state) = state {
            lock(&state).faults.lose_answers -= 1;
        }
        let timeout = HttpResponse::GatewayTimeout().body("the answer was lost");
        return Ok(response.into_response(timeout));
    }
    Ok(response)
}

fn lock(state: &SharedState) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

async fn set_faults(state: SharedState, faults: Json<Faults>) -> HttpResponse {
    lock(&state).faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

async fn counts(state: SharedState) -> HttpResponse {
    let state = lock(&state);
    HttpResponse::Ok().json(Counts {
        reads: state.table.reads,
        rows: state.table.rows_read,
        writes: state.table.writes,
    })
}

async fn steps(state: SharedState) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&state).steps)
}

async fn read_table(state: SharedState, request: Json<ReadRequest>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).table.read(&request))
}

async fn commit_table(state: SharedState, request: Json<CommitRequest>) -> HttpResponse {
    match lock(&state).table.commit(&request) {
        Ok(version) => HttpResponse::Ok().json(CommitResponse { version }),
        Err(rows) => HttpResponse::Conflict().json(rows),
    }
}

async fn list_objects(state: SharedState, query: Query<ObjectsQuery>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).objects.names(&query.prefix))
}

async fn get_object(state: SharedState, name: Path<String>) -> HttpResponse {
    match lock(&state).objects.0.get(name.as_str()) {
        Some(body) => HttpResponse::Ok().body(body.clone()),
        None => HttpResponse::NotFound().body("no such object"),
    }
}

async fn put_object(state: SharedState, name: Path<String>, body: String) -> HttpResponse {
    lock(&state).objects.0.insert(name.into_inner(), body);
    HttpResponse::Ok().finish()
}

async fn list_instances(
    state: SharedState,
    request: HttpRequest,
    query: Query<InstancesQuery>,
) -> HttpResponse {
    let state = lock(&state);
    let lag = Duration::from_millis(state.faults.lag_ms);
    let list = state.instances.list(Instant::now(), lag, &query.centre);
    let body = serde_json::to_string(&list).unwrap_or_default();
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    let etag = format!("\"{:x}\"", hasher.finish());
    if request
        .headers()
        .get(IF_NONE_MATCH)
        .is_some_and(|cached| cached.as_bytes() == etag.as_bytes())
    {
        return HttpResponse::NotModified().insert_header((ETAG, etag)).finish();
    }
    HttpResponse::Ok().insert_header((ETAG, etag)).content_type("application/json").body(body)
}

async fn add_instance(state: SharedState, instance: Json<WireListedInstance>) -> HttpResponse {
    lock(&state).instances.upsert(Instant::now(), instance.into_inner());
    HttpResponse::Ok().finish()
}

async fn add_instances(
    state: SharedState,
    instances: Json<Vec<WireListedInstance>>,
) -> HttpResponse {
    let (mut state, now) = (lock(&state), Instant::now());
    instances.into_inner().into_iter().for_each(|instance| state.instances.upsert(now, instance));
    HttpResponse::Ok().finish()
}

async fn remove_instance(state: SharedState, id: Path<String>) -> HttpResponse {
    if lock(&state).instances.remove(Instant::now(), &id) {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::NotFound().body("no such instance")
}

async fn drain(
    state: SharedState,
    id: Path<String>,
    request: Json<Option<DrainRequest>>,
) -> HttpResponse {
    let Some(mut instance) = lock(&state).instances.find(&id).cloned() else {
        return HttpResponse::NotFound().body("no such instance");
    };
    let expected = request.into_inner().and_then(|request| request.incarnation);
    if expected.is_some_and(|expected| expected != instance.incarnation) {
        return HttpResponse::Conflict().body("the instance has another incarnation");
    }
    if !instance.leaving {
        lock(&state).record_step(&instance, "drain");
    }
    instance.leaving = true;
    let url = format!("http://{}/standin/drain", instance.address);
    lock(&state).instances.upsert(Instant::now(), instance);
    // The order is accepted even if the backend server can't be reached.
    let _ = awc::Client::default().post(url).send().await;
    HttpResponse::Ok().finish()
}

async fn reboot(
    state: SharedState,
    id: Path<String>,
    request: Json<RebootRequest>,
) -> HttpResponse {
    let Some(instance) = lock(&state).instances.find(&id).cloned() else {
        return HttpResponse::NotFound().body("no such instance");
    };
    if request.incarnation.is_some_and(|expected| expected != instance.incarnation) {
        return HttpResponse::Conflict().body("the instance has another incarnation");
    }
    lock(&state).record_step(&instance, "reboot");
    let duration = lock(&state).reboot_duration;
    actix_web::rt::spawn(complete_reboot(state, instance, request.into_inner(), duration));
    HttpResponse::Ok().finish()
}

/// Reboots the backend server after the duration of a reboot and lists its next incarnation.
async fn complete_reboot(
    state: SharedState,
    mut instance: WireListedInstance,
    request: RebootRequest,
    duration: Duration,
) {
    tokio::time::sleep(duration).await;
    // A repeated order for an incarnation that has already been rebooted has no effect.
    if lock(&state)
        .instances
        .find(&instance.id)
        .is_some_and(|current| current.incarnation > instance.incarnation)
    {
        return;
    }
    let url = format!("http://{}/standin/reboot", instance.address);
    let sent = awc::Client::default().post(url).send_json(&request).await;
    if sent.is_err() {
        return;
    }
    instance.pool = request.pool;
    instance.incarnation += 1;
    instance.leaving = false;
    lock(&state).record_step(&instance, "back");
    lock(&state).instances.upsert(Instant::now(), instance);
}
