//! Accepting connections of other nodes.

use std::future::poll_fn;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use fulmartrestle_burn::BurnSummary;
use fulmartrestle_claims::ClaimKey;
use fulmartrestle_config::plan::TrafficFacts;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use super::control::ControlEnvelope;
use super::link::PeerAnswer;
use super::stream::{receive_head, send_data, send_head_and_body};
use super::{PeerError, stream};
use crate::body::ByteBody;
use crate::entry::OnceOutcome;
use crate::wire::{CallHead, decode_exact, encode, encode_head};

/// Longest control message, in bytes: a part of a configuration snapshot with room to spare.
const MAX_CONTROL_BYTES: usize = 1024 * 1024;

/// Streams that one peer may have open. One node's share of the fleet's calls stays far below.
const MAX_STREAMS_PER_PEER: u32 = 4_096;

/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 2 * 1024 * 1024;

/// What a node does with what its peers send.
#[async_trait]
pub trait PeerService: Send + Sync + 'static {
    /// Runs a call on the own target, or refuses it.
    async fn call(&self, head: CallHead, body: ByteBody) -> PeerAnswer;

    /// Returns the outcome of a call that runs at most once and that this node runs or ran.
    async fn known_outcome(&self, key: ClaimKey) -> Option<OnceOutcome>;

    /// Returns how the requests that this node took in ended.
    fn burn_summary(&self) -> BurnSummary;

    /// Returns the rates of the requests that this node takes in.
    fn traffic(&self) -> Vec<TrafficFacts>;

    /// Takes a control message.
    fn control(&self, envelope: ControlEnvelope);
}

/// Accepts peers until the task is aborted.
pub async fn serve_peers(listener: TcpListener, service: Arc<dyn PeerService>) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::spawn(serve_peer(tcp, Arc::clone(&service)));
            }
            Err(error) => {
                log::warn!("peer: accept failed: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve_peer(tcp: TcpStream, service: Arc<dyn PeerService>) {
    // Without it small heads wait for the delayed acknowledgement; failing to set it only costs time.
    let _ = tcp.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS_PER_PEER)
        .handshake::<_, Bytes>(tcp);
    let mut connection = match handshake.await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!("peer: handshake failed: {error}");
            return;
        }
    };
    while let Some(accepted) = connection.accept().await {
        match accepted {
            Ok((request, respond)) => {
                tokio::spawn(serve_stream(request, respond, Arc::clone(&service)));
            }
            Err(error) => {
                log::debug!("peer: connection ended: {error}");
                return;
            }
        }
    }
}

async fn serve_stream(request: Request<RecvStream>, mut respond: SendResponse<Bytes>, service: Arc<dyn PeerService>) {
    let result = match request.uri().path() {
        "/call" => serve_call(request.into_body(), &mut respond, service).await,
        "/outcome" => serve_outcome(request.into_body(), &mut respond, service).await,
        "/burn" => answer_value(&mut respond, &service.burn_summary()).await,
        "/traffic" => answer_value(&mut respond, &service.traffic()).await,
        "/control" => serve_control(request.into_body(), &mut respond, service).await,
        _ => answer_empty(&mut respond, StatusCode::NOT_FOUND),
    };
    if let Err(error) = result {
        log::debug!("peer: stream ended: {error}");
        respond.send_reset(Reason::INTERNAL_ERROR);
    }
}

/// Runs a call until it is answered or the peer resets the stream. Dropping the call's future on a
/// reset frees its place and cancels it at the target.
async fn serve_call(
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
    service: Arc<dyn PeerService>,
) -> Result<(), PeerError> {
    let (head, body) = receive_head::<CallHead>(body).await?;
    let answer = tokio::select! {
        answer = service.call(head, body) => answer,
        _ = poll_fn(|context| respond.poll_reset(context)) => return Ok(()),
    };
    let head = encode_head(&answer.head)?;
    let mut stream = respond.send_response(Response::new(()), false).map_err(stream::lost)?;
    send_head_and_body(&mut stream, head, answer.body).await
}

async fn serve_control(
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
    service: Arc<dyn PeerService>,
) -> Result<(), PeerError> {
    let body = stream::whole_stream(body);
    let collected = Limited::new(body, MAX_CONTROL_BYTES).collect().await;
    let bytes = collected.map_err(|error| PeerError::Lost(error.to_string()))?.to_bytes();
    service.control(decode_exact(&bytes)?);
    answer_empty(respond, StatusCode::OK)
}

async fn answer_value(respond: &mut SendResponse<Bytes>, value: &impl Serialize) -> Result<(), PeerError> {
    let bytes = Bytes::from(encode(value)?);
    let mut stream = respond.send_response(Response::new(()), false).map_err(stream::lost)?;
    send_data(&mut stream, bytes, true).await
}

async fn serve_outcome(
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
    service: Arc<dyn PeerService>,
) -> Result<(), PeerError> {
    let (key, _) = receive_head::<ClaimKey>(body).await?;
    let outcome = tokio::select! {
        outcome = service.known_outcome(key) => outcome,
        _ = poll_fn(|context| respond.poll_reset(context)) => return Ok(()),
    };
    answer_value(respond, &outcome).await
}

fn answer_empty(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), PeerError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map(|_| ()).map_err(stream::lost)
}
