//! Handles requests of callers and of the local target, from the request head to the final response.

mod admitted_request;
mod deadline;
mod outcome_guard;

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use fulmartrestle_core::{Reason, Refusal, TimeUs, lock};
use fulmartrestle_policy::{ArrivedRequest, Origin, Rank, request_fingerprint};
use fulmartrestle_transport::{
    BodyError, ByteBody, CallerResponse, CallerService, ForwardedHeaders, REPLAY_LIMIT_BYTES, ReplayBody,
    TimeLimitedBody, content_length,
};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use hyper::Request;
use hyper::body::Body;

use crate::attempt::send_request;
use crate::event_log::LogLine;
use crate::platform::CallerMetadata;
use crate::state::{MeshState, NodePhase};
use crate::tokens::take_token;
use crate::upload_end::UploadEnd;
use crate::zone_traffic::watch_transfer;
use crate::{MeshConfig, Route, TenantConfig};

pub use admitted_request::AdmittedRequest;
use deadline::{body_limit_ms, response_deadline};
pub use outcome_guard::OutcomeGuard;

/// Retry-After while this node has no configuration, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 400;

/// Retry-After while this node cannot tell whether keys are still valid, in milliseconds.
const STALE_CONFIG_RETRY_AFTER_MS: u64 = 700;

/// Margin that is subtracted from the time within which a revoked key must stop working, in milliseconds. It
/// covers the time between the check of a key and the moment the request is sent on.
const KEY_CHECK_MARGIN_MS: u64 = 300;

/// Retry-After of requests that were shed for lack of capacity, in milliseconds: a minimum plus a random part, so
/// that the callers do not retry at the same moment.
const MIN_SHED_RETRY_AFTER_MS: u64 = 300;
const SHED_RETRY_AFTER_SPREAD_MS: u64 = 1_200;

/// A target's response that is forwarded to the caller.
pub struct TargetResponse {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: ForwardedHeaders,
    /// The response body.
    pub body: ByteBody,
}

/// Handles the requests of callers on this VM and the calls of the local target.
pub struct CallerHandler {
    state: Arc<MeshState>,
}

impl CallerHandler {
    /// Returns the handler of the node with the given state.
    pub fn new(state: Arc<MeshState>) -> Self {
        Self { state }
    }

    async fn process_request(
        &self,
        request: Request<ByteBody>,
        metadata: &CallerMetadata,
        arrived: TimeUs,
        outcome: &mut OutcomeGuard<'_>,
    ) -> Result<TargetResponse, Refusal> {
        let state = &*self.state;
        let not_ready = Refusal::not_run(Reason::NotReady, Some(NO_CONFIG_RETRY_AFTER_MS));
        let config = state.config().ok_or(not_ready)?;
        let (parts, body) = request.into_parts();
        let host = request_host(&parts.headers, parts.uri.host());
        let no_route = Refusal::not_run(Reason::NoRoute, None);
        let route = config.find_route(&host, parts.uri.path()).ok_or(no_route)?;
        outcome.set_route(route, metadata.key.is_some());
        let tenant = match requires_key(&config, route.public) {
            true => Some(self.authenticate(&config, metadata)?),
            false => None,
        };
        let is_child_call = is_child_call(route, metadata.key.is_some());
        // Requests beyond a tenant's rate do not count as demand, so the rate is checked first.
        if let Some(tenant) = tenant {
            take_token(state, &tenant.tenant, metadata.request_id.as_deref()).await?;
        }
        let (rank, origin) = match is_child_call {
            true => {
                state.handled.count_target_call();
                self.child_call_rank(route, metadata, arrived)
            }
            false => {
                state.handled.count_caller_request();
                let rank = Rank::for_request(tenant.and_then(|tenant| tenant.priority), route.priority);
                let arrived = ArrivedRequest { route: &route.id, rank, tenant: tenant.map(|tenant| &tenant.tenant) };
                self.admit_by_capacity(arrived, tenant, metadata)?;
                (rank, Some(Origin { route: route.id.clone(), rank }))
            }
        };
        let deadline = response_deadline(arrived, metadata.deadline_ms, route.timeout_ms);
        let announced_bytes = body.size_hint().exact();
        let body = self.read_body(body, &config).await?;
        if tenant.is_some() {
            // The key may have been revoked while the body arrived or while the process was paused.
            let config = state.config().ok_or(not_ready)?;
            self.authenticate(&config, metadata)?;
        }
        let method = parts.method.as_str().to_owned();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let tenant = tenant.map(|tenant| tenant.tenant.clone());
        let fingerprint = request_fingerprint(&method, &format!("{host}{path}"), tenant.as_ref(), body.leading_bytes());
        let position = state.random_unit();
        let no_service = Refusal::not_run(Reason::NoTarget, Some(NO_CONFIG_RETRY_AFTER_MS));
        let service = route.select_backend(position).ok_or(no_service)?.clone();
        let admitted = AdmittedRequest {
            request_id: metadata.request_id.clone(),
            fingerprint,
            route: route.id.clone(),
            service,
            rank,
            origin,
            tenant,
            caller: state.settings().service.clone(),
            repeatable: route.repeatable,
            attempts: route.attempts,
            deadline,
            method,
            path,
            headers: self.forwarded_headers(&parts.headers, announced_bytes.filter(|_| body.is_streamed())),
            is_child_call,
        };
        let request_bytes = request_body_bytes(&parts.headers, &body);
        let (body, upload_end) = match body.is_streamed() {
            true => self.hold_upload_end(body, announced_bytes, &admitted),
            false => (body, None),
        };
        let response = send_request(state, &admitted, body, upload_end.as_ref(), outcome).await?;
        if content_length(&response.headers).is_none_or(|bytes| bytes > REPLAY_LIMIT_BYTES as u64) {
            lock(&state.large_routes).record_large_response(&admitted.route, state.now());
        }
        self.limit_large_response(watch_transfer(&self.state, &admitted, request_bytes, response))
    }

    /// Holds the end of a body that is forwarded while it arrives, see [`UploadEnd`].
    fn hold_upload_end(
        &self,
        body: ReplayBody,
        announced_bytes: Option<u64>,
        request: &AdmittedRequest,
    ) -> (ReplayBody, Option<UploadEnd>) {
        let (state, route, service) = (Arc::clone(&self.state), request.route.clone(), request.service.clone());
        let deadline = request.deadline;
        let may_end = move |now| lock(&state.stop_admission).can_complete(&route, &service, deadline, now);
        let (body, upload_end) = UploadEnd::hold(body, announced_bytes, self.state.clock, may_end);
        (body, Some(upload_end))
    }

    /// Returns a response that is counted until it ends if it is large. The request has run if there are too many.
    fn limit_large_response(&self, response: TargetResponse) -> Result<TargetResponse, Refusal> {
        match self.state.large_responses.hold(content_length(&response.headers), response.body) {
            Some(body) => Ok(TargetResponse { body, ..response }),
            None => {
                self.state.metrics.increment("large_response_dropped", "memory");
                Err(Refusal::unknown(Reason::Shed))
            }
        }
    }

    /// Returns the rank of a call that the local target makes, and the external request that the call belongs to.
    fn child_call_rank(&self, route: &Route, metadata: &CallerMetadata, arrived: TimeUs) -> (Rank, Option<Origin>) {
        let deadline = metadata.deadline_ms.map(|deadline_ms| arrived.plus_ms(deadline_ms));
        let origin = deadline
            .and_then(|deadline| self.state.gate.infer_call_origin(&route.id, deadline, self.state.random_unit()));
        let label = if origin.is_some() { "known" } else { "unknown" };
        self.state.metrics.increment("call_origin", label);
        let rank = origin.as_ref().map_or(Rank::HIGHEST, |origin| origin.rank.for_child_call());
        (rank, origin)
    }

    /// Admits the share of the route's requests that the services behind it have capacity for, divided among tenants. A
    /// request that is shed returns the token of its tenant.
    fn admit_by_capacity(
        &self,
        request: ArrivedRequest,
        tenant: Option<&TenantConfig>,
        metadata: &CallerMetadata,
    ) -> Result<(), Refusal> {
        let state = &*self.state;
        let (now, draw) = (state.now(), state.random_unit());
        let (share, binding) = {
            let mut admission = lock(&state.capacity_admission);
            let share = admission.admitted_share(request.route, request.rank, now);
            (share, admission.binding_service(request.route, request.rank).filter(|_| draw >= share).cloned())
        };
        let share = match state.settings().tenant_fairness {
            Some(true) => lock(&state.tenant_division).admitted_share(request, share, now),
            None | Some(false) => share,
        };
        let admitted = draw < share;
        lock(&state.arrivals).record_request(request.route, request.rank, admitted);
        if admitted {
            return Ok(());
        }
        if let Some(tenant) = tenant {
            lock(&state.tokens).return_token(&tenant.tenant, now);
        }
        let spread_ms = state.random_unit() * SHED_RETRY_AFTER_SPREAD_MS as f64;
        let retry_after_ms = MIN_SHED_RETRY_AFTER_MS + spread_ms as u64;
        let line = LogLine::new("shed")
            .optional_text("request", metadata.request_id.as_deref())
            .text("route", request.route)
            .number("rank", request.rank.0)
            .number("share_milli", (share * 1e3) as u64)
            .number("retry_after_ms", retry_after_ms);
        state.log(match &binding {
            Some(binding) => line
                .text("service", &binding.service)
                .number("capacity_milli", (binding.capacity_slots * 1e3) as u64)
                .number("demand_milli", (binding.demand_slots * 1e3) as u64),
            None => line,
        });
        Err(Refusal::not_run(Reason::Shed, Some(retry_after_ms)))
    }

    /// Returns the tenant that the request's key belongs to. Rejects every key if the configuration was not
    /// confirmed recently, because the key may have been revoked in the meantime.
    fn authenticate<'c>(&self, config: &'c MeshConfig, metadata: &CallerMetadata) -> Result<&'c TenantConfig, Refusal> {
        let now = self.state.now();
        let limit_ms = self.state.settings().bounds.revoke_ms.saturating_sub(KEY_CHECK_MARGIN_MS);
        let age_ms = self.state.config_age_ms(now);
        if age_ms.is_none_or(|age_ms| age_ms >= limit_ms) {
            let line = LogLine::new("keys_unchecked")
                .optional_text("request", metadata.request_id.as_deref())
                .number("version", config.version().0)
                .number("age_ms", age_ms.unwrap_or(u64::MAX))
                .number("limit_ms", limit_ms);
            self.state.log(line);
            return Err(Refusal::not_run(Reason::NotReady, Some(STALE_CONFIG_RETRY_AFTER_MS)));
        }
        let tenant = metadata.key.as_ref().and_then(|key| config.find_tenant(key));
        tenant.ok_or_else(|| match config.has_unreadable_tenants() {
            // The key may be valid, so the request is not denied for good.
            true => Refusal::not_run(Reason::NotReady, Some(NO_CONFIG_RETRY_AFTER_MS)),
            false => Refusal::not_run(Reason::Unauthorized, None),
        })
    }

    async fn read_body(&self, body: ByteBody, config: &MeshConfig) -> Result<ReplayBody, Refusal> {
        ReplayBody::read(body, config.limits().max_body_bytes).await.map_err(|error| match error {
            BodyError::TooLong(_) => Refusal::not_run(Reason::TooLarge, None),
            BodyError::Aborted(_) => Refusal::not_run(Reason::BadRequest, None),
        })
    }

    /// Returns the headers that are forwarded to the target. `streamed_bytes` is the length of a body that the gate can't
    /// measure because it is forwarded while it arrives.
    fn forwarded_headers(&self, headers: &HeaderMap, streamed_bytes: Option<u64>) -> ForwardedHeaders {
        let mut forwarded = ForwardedHeaders::new(headers, |name| {
            name != CONTENT_LENGTH && name != EXPECT && !self.state.wire_protocol.is_reserved(name)
        });
        if let Some(bytes) = streamed_bytes {
            forwarded.insert(CONTENT_LENGTH, HeaderValue::from(bytes));
        }
        forwarded
    }

    /// Builds the response to a caller. A body that is not known to be short may have no end, so it must end by
    /// `body_deadline`.
    fn build_response(&self, response: TargetResponse, body_deadline: TimeUs) -> CallerResponse {
        let length = content_length(&response.headers);
        let body = match length.is_some_and(|length| length <= REPLAY_LIMIT_BYTES as u64) {
            true => response.body,
            false => TimeLimitedBody::new(response.body, self.state.clock.duration_until(body_deadline)).boxed(),
        };
        let mut caller_response = hyper::Response::new(body);
        *caller_response.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
        *caller_response.headers_mut() = response.headers.into_map();
        caller_response
    }

    fn record_outcome(&self, metadata: &CallerMetadata, result: &Result<TargetResponse, Refusal>, took_us: u64) {
        let state = &*self.state;
        match result {
            Ok(response) => {
                let label = if response.status < 500 { "answered" } else { "target_failed" };
                state.metrics.observe_us("request", label, took_us);
                if response.status >= 500 {
                    let line = LogLine::new("target_error")
                        .optional_text("request", metadata.request_id.as_deref())
                        .number("status", response.status)
                        .number("took_ms", took_us / 1_000);
                    state.log(line);
                }
            }
            Err(refusal) => {
                state.metrics.observe_us("request", refusal.reason.as_str(), took_us);
                let config = state.config();
                let line = LogLine::new("refused")
                    .optional_text("request", metadata.request_id.as_deref())
                    .text("outcome", refusal)
                    .optional_text("retry_after_ms", refusal.retry_after_ms)
                    .number("took_ms", took_us / 1_000)
                    .number("version", config.map_or(0, |config| config.version().0))
                    .optional_text("config_age_ms", state.config_age_ms(state.now()));
                state.log(line);
            }
        }
    }
}

#[async_trait]
impl CallerService for CallerHandler {
    fn may_overtake(&self, request: &Parts) -> bool {
        // While the node stops, each response closes its connection, and what was sent behind it must not run.
        if *self.state.phase.borrow() != NodePhase::Serving {
            return false;
        }
        let config = self.state.config();
        let host = request_host(&request.headers, request.uri.host());
        let route = config.as_ref().and_then(|config| config.find_route(&host, request.uri.path()));
        // A large response may break off, and the requests behind it would be lost with the connection.
        let is_large = |route: &Route| {
            route.large_responses || lock(&self.state.large_routes).is_large(&route.id, self.state.now())
        };
        request.method.is_safe() && route.is_some_and(|route| route.repeatable && !is_large(route))
    }

    async fn handle(&self, _caller: SocketAddr, request: Request<ByteBody>) -> CallerResponse {
        let arrived = self.state.now();
        let metadata = self.state.wire_protocol.parse_caller_metadata(request.headers());
        let mut outcome = OutcomeGuard::new(&self.state, arrived);
        let result = tokio::select! {
            biased;
            result = self.process_request(request, &metadata, arrived, &mut outcome) => Some(result),
            () = self.state.wait_for_last_answers() => None,
        };
        let result = result.unwrap_or_else(|| Err(outcome.last_answer()));
        outcome.end(&result);
        self.record_outcome(&metadata, &result, self.state.now().us_since(arrived));
        // A refused caller retries on a new connection.
        let may_retry = result.as_ref().is_err_and(|refusal| refusal.retry_after_ms.is_some());
        let mut caller_response = match result {
            Ok(response) => self.build_response(response, arrived.plus_ms(body_limit_ms(metadata.deadline_ms))),
            Err(refusal) => self.state.wire_protocol.refusal_response(&refusal, metadata.request_id.as_deref()),
        };
        if *self.state.phase.borrow() != NodePhase::Serving
            || (may_retry && self.state.caller_connections.exceeds_close_threshold())
        {
            caller_response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        caller_response
    }
}

/// Returns whether a request on `route` is a call of a target, which carries no key.
fn is_child_call(route: &Route, has_key: bool) -> bool {
    route.public && !has_key
}

fn requires_key(config: &MeshConfig, public: bool) -> bool {
    config.requires_keys() && !public
}

/// Returns the size of a request body. Of a long one without a stated length only the first part counts.
fn request_body_bytes(headers: &HeaderMap, body: &ReplayBody) -> u64 {
    content_length(headers).unwrap_or(body.leading_bytes().len() as u64)
}

/// Returns the host of the request without its port, in lower case.
fn request_host(headers: &HeaderMap, uri_host: Option<&str>) -> String {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or(uri_host).unwrap_or_default();
    let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
    name.map_or(host, |(name, _)| name).to_ascii_lowercase()
}
