//! The target's HTTP side.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmartrestle_derive::record;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;

use crate::connection_io::ConnectionIo;
use crate::response::{AnswerBody, cut_json, json, text};
use crate::shared::{Life, Shared};
use crate::{MARKER_HEADER, REQUEST_ID_HEADER, TargetBehaviour, TargetResponse, work};

/// Largest body of a control request, in bytes.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Answer to `GET /load`.
#[record]
struct LoadReport {
    load: f64,
    running: u64,
    queued: u64,
    slots: u32,
}

/// Answer to `GET /health`.
#[record]
struct HealthReport {
    healthy: bool,
    draining: bool,
}

/// Serves one connection until either side closes it.
pub(crate) async fn serve_connection(io: ConnectionIo, shared: Arc<Shared>) {
    let connection_number = io.number();
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(answer(request, &shared, connection_number).await) }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    if let Err(error) = builder.serve_connection(TokioIo::new(io), service).await {
        log::debug!("standin: connection ended: {error}");
    }
}

async fn answer(request: Request<Incoming>, shared: &Shared, connection_number: u64) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/load") => load(shared),
        (&Method::GET, "/health") => health(shared),
        (&Method::GET, "/standin/records") => json(StatusCode::OK, &shared.summary()),
        (&Method::GET, "/standin/requests") => json(StatusCode::OK, &shared.recorder().seen()),
        (&Method::GET, "/standin/behaviour") => json(StatusCode::OK, &shared.behaviour()),
        (&Method::POST, "/standin/behaviour") => change_behaviour(request, shared).await,
        (&Method::POST, "/standin/silence") => silence(shared, connection_number),
        _ => call(request, shared).await,
    }
}

fn load(shared: &Shared) -> Response<AnswerBody> {
    let summary = shared.summary();
    let load = shared.behaviour().reported_load.unwrap_or_else(|| shared.load());
    let report = LoadReport { load, running: summary.running, queued: summary.queued, slots: shared.settings.slots };
    json(StatusCode::OK, &report)
}

fn health(shared: &Shared) -> Response<AnswerBody> {
    let behaviour = shared.behaviour();
    let healthy = behaviour.reported_healthy.unwrap_or(!behaviour.refusing);
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json(status, &HealthReport { healthy, draining: behaviour.draining })
}

async fn change_behaviour(request: Request<Incoming>, shared: &Shared) -> Response<AnswerBody> {
    let body = match Limited::new(request.into_body(), MAX_CONTROL_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match serde_json::from_slice::<TargetBehaviour>(&body) {
        Ok(behaviour) => shared.change_behaviour(|current| *current = behaviour),
        Err(error) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
    json(StatusCode::OK, &shared.behaviour())
}

fn silence(shared: &Shared, connection_number: u64) -> Response<AnswerBody> {
    shared.silence.begin(Some(connection_number));
    text(StatusCode::OK, "silenced")
}

async fn call(request: Request<Incoming>, shared: &Shared) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let received = Instant::now();
    shared.recorder().received(&parts, &shared.settings.key_markers, received);
    let behaviour = shared.behaviour();
    if carries_marker(&parts, behaviour.crash_marker.as_deref()) {
        shared.crash();
        return std::future::pending().await;
    }
    if behaviour.refusing {
        shared.recorder().refused();
        return text(StatusCode::SERVICE_UNAVAILABLE, "refused by the target");
    }
    let mut life = shared.life.subscribe();
    let alive = *life.borrow_and_update();
    tokio::select! {
        response = run(shared, &parts, body, received) => response,
        // The work of a crashed process ends; nobody is left to answer.
        () = left(&mut life, alive) => std::future::pending().await,
    }
}

/// Waits until the target is no longer in the state `alive`.
async fn left(life: &mut tokio::sync::watch::Receiver<Life>, alive: Life) {
    let _ = life.wait_for(|current| *current != alive).await;
}

async fn run(shared: &Shared, parts: &Parts, body: Incoming, received: Instant) -> Response<AnswerBody> {
    let Ok(body_bytes) = drain(body).await else {
        return text(StatusCode::BAD_REQUEST, "the request's body was cut short");
    };
    let outcome = work::run(shared, parts).await;
    let behaviour = shared.behaviour();
    if behaviour.late_ms > 0 {
        tokio::time::sleep(Duration::from_millis(behaviour.late_ms)).await;
    }
    let child_calls = match outcome {
        Ok(child_calls) => child_calls,
        Err(error) => {
            shared.recorder().child_failed();
            return text(StatusCode::SERVICE_UNAVAILABLE, &format!("a call to another service failed: {error}"));
        }
    };
    shared.recorder().finished();
    let in_target_us = received.elapsed().as_micros() as u64;
    let answer = TargetResponse { in_target_us, body_bytes, child_calls, ..target_answer(shared, parts) };
    if behaviour.cut_answers { cut_json(&answer) } else { json(StatusCode::OK, &answer) }
}

/// Reads the whole body and returns its length in bytes.
async fn drain(mut body: Incoming) -> Result<u64, hyper::Error> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame?.data_ref().map_or(0, |data| data.len() as u64);
    }
    Ok(bytes)
}

/// Returns the parts of the answer that don't depend on the work.
fn target_answer(shared: &Shared, parts: &Parts) -> TargetResponse {
    let request_id = parts.headers.get(REQUEST_ID_HEADER);
    TargetResponse {
        service: shared.settings.service.clone(),
        request_id: request_id.and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned(),
        path: parts.uri.path().to_owned(),
        body_bytes: 0,
        child_calls: 0,
        in_target_us: 0,
        padding: "x".repeat(shared.settings.answer_bytes),
    }
}

fn carries_marker(parts: &Parts, marker: Option<&str>) -> bool {
    let Some(marker) = marker else {
        return false;
    };
    let in_header = parts.headers.get(MARKER_HEADER).is_some_and(|value| value.as_bytes() == marker.as_bytes());
    in_header || parts.uri.to_string().contains(marker)
}
