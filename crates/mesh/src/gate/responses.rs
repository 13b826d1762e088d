//! Ends a call with the target's response, a refusal or an unknown outcome.

use fulmartrestle_core::{Reason, Refusal, TimeUs, lock};
use fulmartrestle_policy::CallLoss;
use fulmartrestle_transport::{ByteBody, ForwardedHeaders, ReplayBody, WatchedBody, empty_body, incoming_body};
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::admission::AdmittedCall;
use super::slot_guard::{AnsweredCall, StreamingSlotGuard};
use super::watched_call::WatchedCall;
use super::{Gate, NO_TARGET_RETRY_AFTER_MS, TARGET_REFUSED_RETRY_AFTER_MS};
use crate::call_messages::{CallOutcome, CallRequestHead, CallResponseHead};
use crate::event_log::LogLine;
use crate::platform::ResponseClass;
use crate::target_connection_pool::TargetConnection;

/// Header in which a target announces how long it keeps idle connections open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

impl Gate {
    /// Classifies a target's response and reads as much of its body as is needed before it can be forwarded.
    pub(super) async fn handle_response(
        &self,
        head: &CallRequestHead,
        admitted: AdmittedCall,
        mut watched: WatchedCall,
        connection: TargetConnection,
        response: Response<Incoming>,
        deadline: TimeUs,
    ) -> (CallResponseHead, ByteBody) {
        let (parts, body) = response.into_parts();
        let encoded = parts.headers.contains_key(CONTENT_ENCODING);
        let request_id = head.request_id.as_deref();
        let class = match encoded {
            true => ResponseClass::Invalid,
            false => self.wire_protocol.classify_response(request_id, head.repeatable, parts.status, &parts.headers),
        };
        let is_identified = self.wire_protocol.bears_request_id(&parts.headers);
        let class = match class {
            // Bytes behind an earlier response look like the response to this request, which would then run twice or be
            // answered with another's response.
            ResponseClass::NotRun | ResponseClass::WrongInstance if head.repeatable => class,
            _ if is_identified || !connection.is_reused() => class,
            _ => ResponseClass::Invalid,
        };
        // A response of another instance says nothing about the expected one.
        if matches!(class, ResponseClass::Valid | ResponseClass::NotRun) {
            self.record_notices(head, &admitted, &parts.headers);
            self.record_load_metrics(head, &admitted, &parts.headers, class == ResponseClass::Valid);
        }
        let announced_bytes = body.size_hint().exact();
        let body = incoming_body(body);
        let read = tokio::time::timeout(self.clock.duration_until(deadline), ReplayBody::read(body, u64::MAX));
        let body = match (class, read.await) {
            (ResponseClass::Invalid, _) => {
                self.pool.mark_suspect(self.clock.now());
                let origin = if is_identified { "" } else { ", without the ID of the request" };
                self.log_target_event(head, "target_answer_unusable", &format!("{}{origin}", parts.status.as_str()));
                drop(connection);
                let crashed = watched.lose(CallLoss::Unobserved).await;
                return self.report_unknown(head, Reason::BadAnswer, crashed);
            }
            (_, Err(_)) => {
                watched.record_loss(CallLoss::Unobserved);
                return self.report_unknown(head, Reason::Deadline, false);
            }
            (_, Ok(Err(error))) => {
                self.pool.mark_suspect(self.clock.now());
                self.log_target_event(head, "target_answer_broken", &error.to_string());
                let crashed = watched.lose(CallLoss::Unobserved).await;
                return self.report_unknown(head, Reason::BadAnswer, crashed);
            }
            (_, Ok(Ok(body))) => body,
        };
        let measured_length = match &body {
            ReplayBody::Buffered(bytes) => Some(bytes.len() as u64),
            ReplayBody::Streamed { .. } => announced_bytes,
        };
        let measured_length = measured_length.map(HeaderValue::from);
        match class {
            ResponseClass::Valid => {
                // The response to HEAD states the length of a body that it does not have.
                let is_head = head.method == Method::HEAD.as_str();
                let length = if is_head { parts.headers.get(CONTENT_LENGTH).cloned() } else { measured_length };
                let response_head = (parts.status, &parts.headers);
                let (route, service) = (head.route.clone(), head.service.clone());
                let call = AnsweredCall { admitted, watched, connection, route, service };
                self.forward_response(call, response_head, body, is_identified, length)
            }
            ResponseClass::NotRun | ResponseClass::WrongInstance | ResponseClass::Invalid => {
                watched.cancel();
                self.release_connection(connection, &parts.headers, is_identified);
                self.metrics.increment("target_refused", head.service.as_str());
                let reason = if class == ResponseClass::NotRun { Reason::Shed } else { Reason::NoTarget };
                self.log_target_event(head, "target_refused", parts.status.as_str());
                self.refuse(head, Refusal::not_run(reason, Some(TARGET_REFUSED_RETRY_AFTER_MS)), true)
            }
        }
    }

    /// Forwards the target's response. A short body has been read completely and frees the slot at once; a long
    /// one occupies the slot until its end. It is forwarded with its `length`, if it is known: a caller that does not know
    /// chunked transfer can't tell otherwise that it was cut.
    fn forward_response(
        &self,
        call: AnsweredCall,
        (status, headers): (StatusCode, &HeaderMap),
        mut body: ReplayBody,
        is_identified: bool,
        length: Option<HeaderValue>,
    ) -> (CallResponseHead, ByteBody) {
        let mut forwarded = ForwardedHeaders::new(headers, |name| name != CONTENT_LENGTH);
        let is_buffered = matches!(body, ReplayBody::Buffered(_));
        if let Some(length) = length {
            forwarded.insert(CONTENT_LENGTH, length);
        }
        let body = body.next_attempt().unwrap_or_else(empty_body);
        let body = if is_buffered {
            self.release_connection(call.connection, headers, is_identified);
            call.watched.complete(status.as_u16());
            call.admitted.slot.complete();
            body
        } else {
            let guard = StreamingSlotGuard::new(call, status.as_u16());
            WatchedBody::new(body, guard).boxed_unsync()
        };
        let outcome = CallOutcome::Answered { status: status.as_u16(), headers: forwarded };
        (CallResponseHead { outcome, report: self.report() }, body)
    }

    fn release_connection(&self, connection: TargetConnection, headers: &HeaderMap, is_identified: bool) {
        let closing = headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closing {
            let keep_alive_s = headers.get(&KEEP_ALIVE).and_then(keep_alive_s);
            self.pool.return_connection(connection, keep_alive_s, is_identified, self.clock.now());
        }
    }

    pub(super) fn target_unreachable(&self, head: &CallRequestHead, detail: &str) -> (CallResponseHead, ByteBody) {
        lock(&self.state).target.set_reachable(false);
        self.set_cold_state_unknown("unreachable");
        self.log_target_event(head, "target_unreachable", detail);
        self.refuse(head, Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)), false)
    }

    /// Refuses a call for which no connection was open in time. The target stays reachable: its accept queue may be full
    /// for a moment.
    pub(super) fn target_not_connected(&self, head: &CallRequestHead, detail: &str) -> (CallResponseHead, ByteBody) {
        self.log_target_event(head, "target_unreachable", detail);
        self.refuse(head, Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)), false)
    }

    pub(super) fn refuse(
        &self,
        head: &CallRequestHead,
        refusal: Refusal,
        reached_target: bool,
    ) -> (CallResponseHead, ByteBody) {
        self.metrics.increment("gate_refused", refusal.reason.as_str());
        let outcome = CallOutcome::NotRun { refusal, reached_target };
        let report = self.report();
        let line = LogLine::new("gate_refused")
            .optional_text("request", head.request_id.as_deref())
            .text("route", &head.route)
            .text("reason", refusal.reason.as_str())
            .number("rank", head.rank.0)
            .number("left_ms", head.deadline_left_us / 1_000)
            .number("running", report.as_ref().map_or(0, |report| report.running))
            .number("waiting", report.as_ref().map_or(0, |report| report.waiting))
            .number("limit", report.as_ref().map_or(0, |report| report.limit));
        self.event_log.write(line, self.clock.now());
        (CallResponseHead { outcome, report }, empty_body())
    }

    pub(super) fn report_unknown(
        &self,
        head: &CallRequestHead,
        reason: Reason,
        crashed: bool,
    ) -> (CallResponseHead, ByteBody) {
        self.metrics.increment("gate_unknown", reason.as_str());
        let line = LogLine::new("gate_unknown")
            .optional_text("request", head.request_id.as_deref())
            .text("fingerprint", head.fingerprint)
            .text("route", &head.route)
            .text("reason", reason.as_str());
        self.event_log.write(line, self.clock.now());
        (CallResponseHead { outcome: CallOutcome::Unknown { reason, crashed }, report: self.report() }, empty_body())
    }

    pub(super) fn log_target_event(&self, head: &CallRequestHead, event: &'static str, detail: &str) {
        let line = LogLine::new(event)
            .optional_text("request", head.request_id.as_deref())
            .text("fingerprint", head.fingerprint)
            .text("service", &head.service)
            .text("instance", &head.instance)
            .text("detail", detail);
        self.event_log.write(line, self.clock.now());
    }
}

fn keep_alive_s(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let parameters = text.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let mut timeouts = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    timeouts.next().and_then(|(_, seconds)| seconds.trim().parse().ok())
}
