//! Server of the protocol between nodes.

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
use tokio::sync::watch;

use super::PeerError;
use super::client::PeerResponse;
use super::control::ControlEnvelope;
use crate::body::ByteBody;
use crate::entry::AtMostOnceOutcome;
use crate::wire::{CallHead, decode_exact, encode, encode_head};

/// Maximum length of a control message, in bytes. The largest one is a chunk of a configuration snapshot, which is
/// well below this limit.
const MAX_CONTROL_MESSAGE_BYTES: usize = 1024 * 1024;

/// Handles the requests and messages that peers send to a node.
#[async_trait]
pub trait PeerService: Send + Sync + 'static {
    /// Runs a call on the local target, or refuses it.
    async fn call(&self, head: CallHead, body: ByteBody) -> PeerResponse;

    /// Returns the outcome of a call that runs at most once, or `None` if this node neither runs nor has run it.
    ///
    /// Waits while the call runs.
    async fn call_outcome(&self, key: ClaimKey) -> Option<AtMostOnceOutcome>;

    /// Returns the outcome counts of the requests that entered at this node.
    fn burn_summary(&self) -> BurnSummary;

    /// Returns the rates of the requests that enter at this node.
    fn traffic(&self) -> Vec<ObservedTraffic>;

    /// Handles a control message.
    fn on_control_message(&self, envelope: ControlEnvelope);
}

/// Accepts connections from peers until the task is aborted.
pub async fn serve_peers(listener: TcpListener, service: Arc<dyn PeerService>) {
    let handler: Arc<dyn StreamHandler> = Arc::new(PeerStreamHandler { service });
    let (_never_closing, closing) = watch::channel(false);
    serve_streams(listener, || Arc::clone(&handler), closing).await;
}

/// Dispatches the streams of peers to the service by their path.
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

/// Runs a call until the response is complete or the peer resets the stream.
///
/// On a reset the call's future is dropped, which releases the call's slot and cancels it at the target.
async fn serve_call(
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
    service: Arc<dyn PeerService>,
) -> Result<(), PeerError> {
    let (head, body) = receive_head::<CallHead>(body).await?;
    let response = tokio::select! {
        response = service.call(head, body) => response,
        _ = poll_fn(|context| respond.poll_reset(context)) => return Ok(()),
    };
    let head = encode_head(&response.head)?;
    let mut stream = respond.send_response(Response::new(()), false).map_err(stream_error)?;
    send_head_and_body(&mut stream, head, response.body).await
}

async fn serve_control(
    body: RecvStream,
    respond: &mut SendResponse<Bytes>,
    service: Arc<dyn PeerService>,
) -> Result<(), PeerError> {
    let body = stream_body(body);
    let collected = Limited::new(body, MAX_CONTROL_MESSAGE_BYTES).collect().await;
    let bytes = collected.map_err(|error| PeerError::StreamFailed(error.to_string()))?.to_bytes();
    service.on_control_message(decode_exact(&bytes)?);
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
