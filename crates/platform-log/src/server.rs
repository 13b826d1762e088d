//! The stand-in server: a [`MemoryLog`] over HTTP, with its faults under control of `/faults`.

use std::sync::Arc;

use bytes::Bytes;
use fulmartrestle_core::LogOffset;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};

use crate::wire::{AppendAnswer, AppendRequest, Failure, MAX_BODY_BYTES, TrimRequest, WirePage};
use crate::{LogError, MemoryLog, PlatformLog, StreamName};

const DEFAULT_MAX_RECORDS: usize = 1_000;

type Answer = Result<Response<Full<Bytes>>, LogError>;

/// Serves `log` on `listener` until the returned future is dropped. Connections that are open by then
/// live on until their clients close them.
///
/// # Errors
///
/// Returns the error of a listener that can't accept any more.
pub async fn serve(listener: TcpListener, log: Arc<MemoryLog>) -> std::io::Result<()> {
    loop {
        let (socket, _) = listener.accept().await?;
        tokio::spawn(serve_connection(socket, Arc::clone(&log)));
    }
}

/// Serves one connection. A lost answer is an error of the service, which makes `hyper` close the
/// connection without an answer.
async fn serve_connection(socket: TcpStream, log: Arc<MemoryLog>) {
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| answer(request, Arc::clone(&log)));
    let connection = http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(socket), service);
    if let Err(error) = connection.await {
        log::debug!("standin-log: connection ended: {error}");
    }
}

async fn answer(request: Request<Incoming>, log: Arc<MemoryLog>) -> Answer {
    match route(request, &log).await {
        Err(LogError::AnswerLost) => Err(LogError::AnswerLost),
        Err(error) => Ok(failure(&error)),
        answered => answered,
    }
}

async fn route(request: Request<Incoming>, log: &MemoryLog) -> Answer {
    let path = request.uri().path().to_owned();
    let segments: Vec<_> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (&Method::POST, ["streams", stream, "records"]) => append(&stream_name(stream)?, request, log).await,
        (&Method::GET, ["streams", stream, "records"]) => read(&stream_name(stream)?, &request, log).await,
        (&Method::POST, ["streams", stream, "trim"]) => {
            let trim: TrimRequest = body(request).await?;
            log.trim_before(&stream_name(stream)?, trim.before);
            json(&trim)
        }
        (&Method::POST, ["faults"]) => {
            log.set_faults(body(request).await?);
            json(&log.faults())
        }
        (&Method::GET, ["faults"]) => json(&log.faults()),
        (&Method::GET, ["stats"]) => json(&log.stats()),
        (method, _) => Err(LogError::BadRequest(format!("no such request: {method} {path}"))),
    }
}

async fn append(stream: &StreamName, request: Request<Incoming>, log: &MemoryLog) -> Answer {
    let message: AppendRequest = body(request).await?;
    let records = message.records.into_iter().map(|record| record.0).collect();
    let offset = log.append(stream, records).await?;
    json(&AppendAnswer { offset })
}

async fn read(stream: &StreamName, request: &Request<Incoming>, log: &MemoryLog) -> Answer {
    let from = parameter(request, "from")?.unwrap_or_default();
    let max = parameter(request, "max")?.unwrap_or(DEFAULT_MAX_RECORDS as u64);
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let page = log.read(stream, LogOffset(from), max).await?;
    json(&WirePage::from(page))
}

fn stream_name(text: &str) -> Result<StreamName, LogError> {
    text.parse().map_err(|error| LogError::BadRequest(format!("{error}")))
}

fn parameter(request: &Request<Incoming>, name: &str) -> Result<Option<u64>, LogError> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.into_iter().find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    let value = text.parse().map_err(|_| LogError::BadRequest(format!("{name} is not a number: {text:?}")))?;
    Ok(Some(value))
}

async fn body<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, LogError> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| LogError::BadRequest(error.to_string()))?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| LogError::BadRequest(error.to_string()))
}

fn json(message: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(message).map_err(|error| LogError::BadRequest(error.to_string()))?;
    Ok(response(StatusCode::OK, body))
}

fn failure(error: &LogError) -> Response<Full<Bytes>> {
    let (status, first) = match error {
        LogError::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, None),
        LogError::Trimmed { first } => (StatusCode::GONE, Some(*first)),
        LogError::BadRequest(_) => (StatusCode::BAD_REQUEST, None),
        LogError::AnswerLost => (StatusCode::INTERNAL_SERVER_ERROR, None),
    };
    let error = match error {
        LogError::BadRequest(reason) => reason.clone(),
        other => other.to_string(),
    };
    let body = serde_json::to_vec(&Failure { error, first }).unwrap_or_default();
    response(status, body)
}

fn response(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
