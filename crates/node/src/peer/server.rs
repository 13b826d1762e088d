//! Accepting connections of other nodes.

use std::future::poll_fn;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use fulmartrestle_burn::BurnSummary;
use fulmartrestle_claims::ClaimKey;
use fulmartrestle_config::plan::ObservedTraffic;
use fulmartrestle_transport::{
    StreamHandler, receive_head, send_head_and_body, send_initial_data, serve_streams, stream_body, stream_error,
};
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use tokio::net::TcpListener;

use super::PeerError;
use super::client::PeerResponse;
use super::control::ControlEnvelope;
use crate::body::ByteBody;
use crate::entry::AtMostOnceOutcome;
use crate::wire::{CallHead, decode_exact, encode, encode_head};

/// Longest control message, in bytes: a part of a configuration snapshot with room to spare.
const MAX_CONTROL_MESSAGE_BYTES: usize = 1024 * 1024;

/// What a node does with what its peers send.
#[async_trait]
pub trait PeerService: Send + Sync + 'static {
    /// Runs a call on the own target, or refuses it.
    async fn call(&self, head: CallHead, body: ByteBody) -> PeerResponse;

    /// Returns the outcome of a call that runs at most once and that this node runs or ran.
    async fn call_outcome(&self, key: ClaimKey) -> Option<AtMostOnceOutcome>;

    /// Returns how the requests that this node took in ended.
    fn burn_summary(&self) -> BurnSummary;

    /// Returns the rates of the requests that this node takes in.
    fn traffic(&self) -> Vec<ObservedTraffic>;

    /// Takes a control message.
    fn control(&self, envelope: ControlEnvelope);
}

/// Accepts peers until the task is aborted.
pub async fn serve_peers(listener: TcpListener, service: Arc<dyn PeerService>) {
    serve_streams(listener, Arc::new(PeerStreamHandler { service })).await;
}

/// Hands the streams of peers to the service.
struct PeerStreamHandler {
    service: Arc<dyn PeerService>,
}

#[async_trait]
impl StreamHandler for PeerStreamHandler {
    async fn handle(&self, request: Request<RecvStream>, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
        let service = Arc::clone(&self.service);
        match request.uri().path() {
            "/call" => serve_call(request.into_body(), respond, service).await,
            "/outcome" => serve_outcome(request.into_body(), respond, service).await,
            "/burn" => respond_with_value(respond, &service.burn_summary()).await,
            "/traffic" => respond_with_value(respond, &service.traffic()).await,
            "/control" => serve_control(request.into_body(), respond, service).await,
            _ => respond_with_status(respond, StatusCode::NOT_FOUND),
        }
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
    let mut stream = respond.send_response(Response::new(()), false).map_err(stream_error)?;
    send_head_and_body(&mut stream, head, answer.body).await
}

async fn serve_control(
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
    service: Arc<dyn PeerService>,
) -> Result<(), PeerError> {
    let body = stream_body(body);
    let collected = Limited::new(body, MAX_CONTROL_MESSAGE_BYTES).collect().await;
    let bytes = collected.map_err(|error| PeerError::StreamFailed(error.to_string()))?.to_bytes();
    service.control(decode_exact(&bytes)?);
    respond_with_status(respond, StatusCode::OK)
}

async fn respond_with_value(respond: &mut SendResponse<Bytes>, value: &impl Serialize) -> Result<(), PeerError> {
    let bytes = Bytes::from(encode(value)?);
    let mut stream = respond.send_response(Response::new(()), false).map_err(stream_error)?;
    send_initial_data(&mut stream, bytes, true)
}

async fn serve_outcome(
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
    service: Arc<dyn PeerService>,
) -> Result<(), PeerError> {
    let (key, _) = receive_head::<ClaimKey>(body).await?;
    let outcome = tokio::select! {
        outcome = service.call_outcome(key) => outcome,
        _ = poll_fn(|context| respond.poll_reset(context)) => return Ok(()),
    };
    respond_with_value(respond, &outcome).await
}

fn respond_with_status(respond: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), PeerError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).map(|_| ()).map_err(stream_error)
}
