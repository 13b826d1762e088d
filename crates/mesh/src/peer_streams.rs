//! Handles streams that other nodes open.

use std::future::poll_fn;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use fulmartrestle_policy::StopTimes;
use fulmartrestle_transport::{
    PeerError, StreamHandler, encode, encode_head, receive_head, send_head_and_body, send_initial_data, stream_body,
    stream_error,
};
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use tokio::sync::watch;

use crate::call_messages::CallRequestHead;
use crate::crash_marks::crash_marks_response;
use crate::left_runs::left_runs_response;
use crate::node_messages::{ConfigResponse, TokenRequest};
use crate::state::MeshState;
use crate::stop_notice::{STOPPING_PATH, stop_from_headers};
use crate::tokens::answer_token_request;

/// Path of streams that carry a call.
pub const RUN_PATH: &str = "/run";

/// Path of streams that request rate tokens.
pub const TOKENS_PATH: &str = "/tokens";

/// Path of streams that request the configuration.
pub const CONFIG_PATH: &str = "/config";

/// Path of streams that request all crash marks.
pub const CRASH_MARKS_PATH: &str = "/crash-marks";

/// Path of streams that request the runs of targets that are known to have left.
pub const LEFT_RUNS_PATH: &str = "/left-runs";

/// Largest token request, in bytes: a tenant's name, with room to spare.
const MAX_TOKEN_REQUEST_BYTES: usize = 4_096;

/// Handles the streams on one connection of another node.
pub struct PeerStreamHandler {
    state: Arc<MeshState>,
    /// The stop of the other node once it has told it.
    sender_stop: watch::Sender<Option<StopTimes>>,
}

impl PeerStreamHandler {
    /// Returns the handler of a new connection to the node with the given state.
    pub fn new(state: Arc<MeshState>) -> Self {
        Self { state, sender_stop: watch::Sender::new(None) }
    }

    /// Runs a call until it ends or the other node resets the stream, which cancels the call.
    async fn run_call(&self, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
        self.state.handled.count_target_call();
        let _open_call = self.state.gate.hold_open();
        let (head, body) = receive_head::<CallRequestHead>(body).await?;
        let (response_head, body) = tokio::select! {
            response = self.state.gate.run(head, body, Some(self.sender_stop.subscribe())) => response,
            _ = poll_fn(|context| respond.poll_reset(context)) => return Ok(()),
        };
        let head = encode_head(&response_head)?;
        let mut stream = respond.send_response(Response::new(()), false).map_err(stream_error)?;
        send_head_and_body(&mut stream, head, body).await
    }

    async fn grant_tokens(&self, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
        let body = Limited::new(stream_body(body), MAX_TOKEN_REQUEST_BYTES).collect().await;
        let bytes = body.map_err(|error| PeerError::StreamFailed(error.to_string()))?.to_bytes();
        let request: TokenRequest = fulmartrestle_transport::decode_exact(&bytes)?;
        send_response(respond, &answer_token_request(&self.state, request).await).await
    }
}

#[async_trait]
impl StreamHandler for PeerStreamHandler {
    async fn handle(&self, request: Request<RecvStream>, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
        if let Some(stop) = stop_from_headers(request.headers(), self.state.now()) {
            // Later notices tell the same stop, and arrive later.
            self.sender_stop.send_if_modified(|known| known.is_none() && known.replace(stop).is_none());
        }
        match request.uri().path() {
            STOPPING_PATH => respond.send_response(Response::new(()), true).map(|_| ()).map_err(stream_error),
            RUN_PATH => self.run_call(request.into_body(), respond).await,
            TOKENS_PATH => self.grant_tokens(request.into_body(), respond).await,
            CONFIG_PATH => {
                let bytes = self.state.config_bytes();
                send_response(respond, &ConfigResponse { bytes: bytes.as_ref().clone() }).await
            }
            LEFT_RUNS_PATH => send_response(respond, &left_runs_response(&self.state)).await,
            CRASH_MARKS_PATH => send_response(respond, &crash_marks_response(&self.state)).await,
            _ => {
                let mut response = Response::new(());
                *response.status_mut() = StatusCode::NOT_FOUND;
                respond.send_response(response, true).map(|_| ()).map_err(stream_error)
            }
        }
    }
}

async fn send_response(respond: &mut SendResponse<Bytes>, value: &impl Serialize) -> Result<(), PeerError> {
    let bytes = Bytes::from(encode(value)?);
    let mut stream = respond.send_response(Response::new(()), false).map_err(stream_error)?;
    send_initial_data(&mut stream, bytes, true)
}
