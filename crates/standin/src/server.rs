//! HTTP server of a target.

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

use crate::response::{ResponseBody, json_response, text_response, truncated_json_response};
use crate::shared_state::{ProcessState, SharedState};
use crate::silenceable_socket::SilenceableSocket;
use crate::{CRASH_MARKER_HEADER, REQUEST_ID_HEADER, TargetBehaviour, TargetResponse, work};

/// Maximum body of a request that changes the behaviour, in bytes.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// JSON response to `GET /load`.
#[record]
struct LoadReport {
    load: f64,
    running: u64,
    queued: u64,
    slots: u32,
}

/// JSON response to `GET /health`.
#[record]
struct HealthReport {
    healthy: bool,
    draining: bool,
}

/// Serves one connection until either side closes it.
pub(crate) async fn serve_connection(io: SilenceableSocket, shared: Arc<SharedState>) {
    let connection_number = io.number();
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move {
            let is_control = request.uri().path().starts_with("/standin/");
            let response = handle_request(request, &shared, connection_number).await;
            match shared.behaviour().drop_answers && !is_control {
                true => Err(std::io::Error::other("response dropped by the drop_answers fault")),
                false => Ok(response),
            }
        }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    if let Err(error) = builder.serve_connection(TokioIo::new(io), service).await {
        log::debug!("standin: connection ended: {error}");
    }
}

async fn handle_request(
    request: Request<Incoming>,
    shared: &SharedState,
    connection_number: u64,
) -> Response<ResponseBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/load") => report_load(shared),
        (&Method::GET, "/health") => report_health(shared),
        (&Method::GET, "/standin/records") => json_response(StatusCode::OK, &shared.stats()),
        (&Method::GET, "/standin/requests") => json_response(StatusCode::OK, &shared.recorder().recent_requests()),
        (&Method::GET, "/standin/behaviour") => json_response(StatusCode::OK, &shared.behaviour()),
        (&Method::POST, "/standin/behaviour") => change_behaviour(request, shared).await,
        (&Method::POST, "/standin/silence") => silence_other_connections(shared, connection_number),
        _ => handle_call(request, shared).await,
    }
}

fn report_load(shared: &SharedState) -> Response<ResponseBody> {
    let stats = shared.stats();
    let load = shared.behaviour().reported_load.unwrap_or_else(|| shared.load());
    let report = LoadReport { load, running: stats.running, queued: stats.queued, slots: shared.settings.slots };
    json_response(StatusCode::OK, &report)
}

fn report_health(shared: &SharedState) -> Response<ResponseBody> {
    let behaviour = shared.behaviour();
    let healthy = behaviour.reported_healthy.unwrap_or(!behaviour.refusing);
    let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, &HealthReport { healthy, draining: behaviour.draining })
}

async fn change_behaviour(request: Request<Incoming>, shared: &SharedState) -> Response<ResponseBody> {
    let body = match Limited::new(request.into_body(), MAX_CONTROL_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    match serde_json::from_slice::<TargetBehaviour>(&body) {
        Ok(behaviour) => shared.change_behaviour(|current| *current = behaviour),
        Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
    json_response(StatusCode::OK, &shared.behaviour())
}

fn silence_other_connections(shared: &SharedState, connection_number: u64) -> Response<ResponseBody> {
    shared.silenced.silence_open(Some(connection_number));
    text_response(StatusCode::OK, "silenced")
}

async fn handle_call(request: Request<Incoming>, shared: &SharedState) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let received = Instant::now();
    shared.recorder().record_arrival(&parts, &shared.settings.key_markers, received);
    let behaviour = shared.behaviour();
    if contains_crash_marker(&parts, behaviour.crash_marker.as_deref()) {
        shared.crash();
        return std::future::pending().await;
    }
    if behaviour.refusing {
        shared.recorder().record_refusal();
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "refused by the target");
    }
    let mut process_state = shared.process_state.subscribe();
    let running_state = *process_state.borrow_and_update();
    tokio::select! {
        response = run_request(shared, &parts, body, received) => response,
        // A crash ends the work without a response.
        () = wait_for_state_change(&mut process_state, running_state) => std::future::pending().await,
    }
}

/// Waits until the state of the target is no longer `running_state`.
async fn wait_for_state_change(
    process_state: &mut tokio::sync::watch::Receiver<ProcessState>,
    running_state: ProcessState,
) {
    let _ = process_state.wait_for(|current| *current != running_state).await;
}

async fn run_request(shared: &SharedState, parts: &Parts, body: Incoming, received: Instant) -> Response<ResponseBody> {
    let Ok(body_bytes) = count_body_bytes(body).await else {
        return text_response(StatusCode::BAD_REQUEST, "the request body was truncated");
    };
    let outcome = work::perform(shared, parts).await;
    let behaviour = shared.behaviour();
    if behaviour.late_ms > 0 {
        tokio::time::sleep(Duration::from_millis(behaviour.late_ms)).await;
    }
    let child_calls = match outcome {
        Ok(child_calls) => child_calls,
        Err(error) => {
            shared.recorder().record_child_failure();
            return text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &format!("a call to another service failed: {error}"),
            );
        }
    };
    shared.recorder().record_finish();
    let in_target_us = received.elapsed().as_micros() as u64;
    let response = TargetResponse { in_target_us, body_bytes, child_calls, ..base_response(shared, parts) };
    if behaviour.cut_answers { truncated_json_response(&response) } else { json_response(StatusCode::OK, &response) }
}

/// Reads the whole body and returns its length in bytes.
async fn count_body_bytes(mut body: Incoming) -> Result<u64, hyper::Error> {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame?.data_ref().map_or(0, |data| data.len() as u64);
    }
    Ok(bytes)
}

/// Returns the response with the fields that don't depend on the work.
fn base_response(shared: &SharedState, parts: &Parts) -> TargetResponse {
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

/// Returns whether the URL contains the crash marker or the header of the marker equals it.
fn contains_crash_marker(parts: &Parts, marker: Option<&str>) -> bool {
    let Some(marker) = marker else {
        return false;
    };
    let in_header = parts.headers.get(CRASH_MARKER_HEADER).is_some_and(|value| value.as_bytes() == marker.as_bytes());
    in_header || parts.uri.to_string().contains(marker)
}
