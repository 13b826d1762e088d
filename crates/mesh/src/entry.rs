//! Requests of callers and of the own target: from the first byte to the final answer.

mod admitted;
mod deadline;

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use fulmartrestle_core::{Reason, Refusal, TimeUs, lock};
use fulmartrestle_policy::{Origin, Rank};
use fulmartrestle_transport::{
    BodyError, ByteBody, CallerAnswer, CallerService, HeaderPair, ReplayBody, headers_from_pairs, headers_to_pairs,
    incoming_body,
};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderValue};
use http::{HeaderMap, StatusCode};
use hyper::Request;
use hyper::body::Incoming;

use crate::attempt::send_request;
use crate::border::CallerFacts;
use crate::journal::Line;
use crate::state::{MeshState, Phase};
use crate::tokens::take_token;
use crate::{MeshConfig, Route, TenantRow};

pub use admitted::AdmittedRequest;
use deadline::give_up_at;

/// When to come back while this node has no configuration, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 400;

/// When to come back while this node does not know whether keys are still valid, in milliseconds.
const STALE_RETRY_AFTER_MS: u64 = 700;

/// Part of the time for withdrawals that is left as a margin, in milliseconds: for the way from the
/// check of a key to the moment at which the request is sent on.
const STALE_MARGIN_MS: u64 = 300;

/// When callers that were refused for lack of capacity come back, in milliseconds: drawn from a span,
/// so that they don't come back together.
const MIN_SHED_RETRY_MS: u64 = 300;
const SHED_RETRY_SPREAD_MS: u64 = 1_200;

/// A target's answer on its way to the caller.
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: ByteBody,
}

/// Answers callers on this VM and the own target's calls.
pub struct Entry {
    state: Arc<MeshState>,
}

impl Entry {
    /// Returns the entry of one node.
    pub fn new(state: Arc<MeshState>) -> Self {
        Self { state }
    }

    async fn decide(
        &self,
        request: Request<Incoming>,
        facts: &CallerFacts,
        arrived: TimeUs,
    ) -> Result<Answered, Refusal> {
        let state = &*self.state;
        let not_ready = Refusal::not_run(Reason::NotReady, Some(NO_CONFIG_RETRY_AFTER_MS));
        let config = state.config().ok_or(not_ready)?;
        let (parts, body) = request.into_parts();
        let host = host_of(&parts.headers, parts.uri.host());
        let no_route = Refusal::not_run(Reason::NoRoute, None);
        let route = config.route(&host, parts.uri.path()).ok_or(no_route)?;
        let tenant = match needs_key(&config, route.open) {
            true => Some(self.check_key(&config, facts)?),
            false => None,
        };
        let is_call = route.open && facts.key.is_none();
        // What lies beyond a tenant's rate is no demand, so that the rate is asked first.
        if let Some(tenant) = tenant {
            take_token(state, &tenant.tenant, facts.request_id.as_deref()).await?;
        }
        let (rank, origin) = match is_call {
            true => self.call_urgency(route, facts, arrived),
            false => {
                let rank = Rank::for_request(tenant.and_then(|tenant| tenant.priority), route.priority);
                self.pass_door(route, rank, tenant, facts)?;
                (rank, Some(Origin { route: route.id.clone(), rank }))
            }
        };
        let give_up = give_up_at(arrived, facts.deadline_ms, route.timeout_ms);
        let body = self.read_body(incoming_body(body), &config).await?;
        let place = state.draw();
        let service = route.backend(place).ok_or(no_route)?.clone();
        let admitted = AdmittedRequest {
            request_id: facts.request_id.clone(),
            route: route.id.clone(),
            service,
            rank,
            origin,
            tenant: tenant.map(|tenant| tenant.tenant.clone()),
            caller: state.gate.service().unwrap_or_else(|| state.settings().service.clone()),
            repeatable: route.repeatable,
            attempts: route.attempts,
            give_up,
            method: parts.method.as_str().to_owned(),
            path: parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            headers: self.forwarded(&parts.headers),
        };
        send_request(state, &admitted, body).await
    }

    /// Returns the urgency of a call of the own target, and the request that it serves.
    fn call_urgency(&self, route: &Route, facts: &CallerFacts, arrived: TimeUs) -> (Rank, Option<Origin>) {
        let deadline = facts.deadline_ms.map(|deadline_ms| arrived.plus_ms(deadline_ms));
        let origin =
            deadline.and_then(|deadline| self.state.gate.origin_of_call(&route.id, deadline, self.state.draw()));
        let label = if origin.is_some() { "known" } else { "unknown" };
        self.state.metrics.count("call_origin", label);
        let rank = origin.as_ref().map_or(Rank::HIGHEST, |origin| origin.rank.for_child_call());
        (rank, origin)
    }

    /// Lets the share of a route's requests in that the services behind it can serve. A refused request gives
    /// its tenant's token back.
    fn pass_door(
        &self,
        route: &Route,
        rank: Rank,
        tenant: Option<&TenantRow>,
        facts: &CallerFacts,
    ) -> Result<(), Refusal> {
        let state = &*self.state;
        let share = lock(&state.door).admitted_share(&route.id, rank, state.now());
        let admitted = state.draw() < share;
        lock(&state.arrivals).record_request(&route.id, rank, admitted);
        if admitted {
            return Ok(());
        }
        if let Some(tenant) = tenant {
            lock(&state.tokens).put_back(&tenant.tenant, state.now());
        }
        let retry_after_ms = (MIN_SHED_RETRY_MS as f64 + state.draw() * SHED_RETRY_SPREAD_MS as f64) as u64;
        let line = Line::new("shed")
            .maybe("request", facts.request_id.as_deref())
            .text("route", &route.id)
            .number("rank", rank.0)
            .number("share_milli", (share * 1e3) as u64)
            .number("retry_after_ms", retry_after_ms);
        state.log(line);
        Err(Refusal::not_run(Reason::Shed, Some(retry_after_ms)))
    }

    /// Returns the tenant whose key came with a request. Without recent news of withdrawals no key
    /// counts.
    fn check_key<'c>(&self, config: &'c MeshConfig, facts: &CallerFacts) -> Result<&'c TenantRow, Refusal> {
        let now = self.state.now();
        let limit_ms = self.state.settings().bounds.revoke_ms.saturating_sub(STALE_MARGIN_MS);
        let age_ms = self.state.config_age_ms(now);
        if age_ms.is_none_or(|age_ms| age_ms >= limit_ms) {
            let line = Line::new("keys_unchecked")
                .maybe("request", facts.request_id.as_deref())
                .number("version", config.version().0)
                .number("age_ms", age_ms.unwrap_or(u64::MAX))
                .number("limit_ms", limit_ms);
            self.state.log(line);
            return Err(Refusal::not_run(Reason::NotReady, Some(STALE_RETRY_AFTER_MS)));
        }
        let tenant = facts.key.as_ref().and_then(|key| config.tenant(key));
        tenant.ok_or(Refusal::not_run(Reason::Unauthorized, None))
    }

    async fn read_body(&self, body: ByteBody, config: &MeshConfig) -> Result<ReplayBody, Refusal> {
        ReplayBody::read(body, config.limits().max_body_bytes).await.map_err(|error| match error {
            BodyError::TooLong(_) => Refusal::not_run(Reason::TooLarge, None),
            BodyError::Broken(_) => Refusal::not_run(Reason::BadRequest, None),
        })
    }

    fn forwarded(&self, headers: &HeaderMap) -> Vec<HeaderPair> {
        let mut pairs = headers_to_pairs(headers);
        pairs.retain(|pair| {
            let Ok(name) = pair.name.parse() else { return false };
            name != CONTENT_LENGTH && name != EXPECT && !self.state.wire.is_replaced(&name)
        });
        pairs
    }

    fn answer_of(&self, answered: Answered) -> CallerAnswer {
        let mut answer = hyper::Response::new(answered.body);
        *answer.status_mut() = StatusCode::from_u16(answered.status).unwrap_or(StatusCode::BAD_GATEWAY);
        *answer.headers_mut() = headers_from_pairs(&answered.headers);
        answer
    }

    fn log_end(&self, facts: &CallerFacts, result: &Result<Answered, Refusal>, took_us: u64) {
        let state = &*self.state;
        match result {
            Ok(answered) => {
                let label = if answered.status < 500 { "answered" } else { "target_failed" };
                state.metrics.observe_us("request", label, took_us);
                if answered.status >= 500 {
                    let line = Line::new("target_error")
                        .maybe("request", facts.request_id.as_deref())
                        .number("status", answered.status)
                        .number("took_ms", took_us / 1_000);
                    state.log(line);
                }
            }
            Err(refusal) => {
                state.metrics.observe_us("request", refusal.reason.as_str(), took_us);
                let config = state.config();
                let line = Line::new("refused")
                    .maybe("request", facts.request_id.as_deref())
                    .text("outcome", refusal)
                    .maybe("retry_after_ms", refusal.retry_after_ms)
                    .number("took_ms", took_us / 1_000)
                    .number("version", config.map_or(0, |config| config.version().0))
                    .maybe("config_age_ms", state.config_age_ms(state.now()));
                state.log(line);
            }
        }
    }
}

#[async_trait]
impl CallerService for Entry {
    async fn answer(&self, _caller: SocketAddr, request: Request<Incoming>) -> CallerAnswer {
        let arrived = self.state.now();
        let facts = self.state.wire.caller_facts(request.headers());
        let result = self.decide(request, &facts, arrived).await;
        self.log_end(&facts, &result, self.state.now().us_since(arrived));
        // Refused callers come back on new connections.
        let comes_back = result.as_ref().is_err_and(|refusal| refusal.retry_after_ms.is_some());
        let mut answer = match result {
            Ok(answered) => self.answer_of(answered),
            Err(refusal) => self.state.wire.refusal(&refusal, facts.request_id.as_deref()),
        };
        if *self.state.phase.borrow() != Phase::Serving || (comes_back && self.state.callers.is_crowded()) {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

fn needs_key(config: &MeshConfig, open: bool) -> bool {
    config.has_tenants() && !open
}

/// Returns the host without its port, in lower case.
fn host_of(headers: &HeaderMap, uri_host: Option<&str>) -> String {
    let header = headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = header.or(uri_host).unwrap_or_default();
    let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
    name.map_or(host, |(name, _)| name).to_ascii_lowercase()
}
