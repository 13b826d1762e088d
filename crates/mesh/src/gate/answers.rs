//! What becomes of a call: the target's answer, a refusal, or an unknown end.

use fulmartrestle_core::{Reason, Refusal, TimeUs, lock};
use fulmartrestle_transport::{
    ByteBody, HeaderPair, ReplayBody, WatchedBody, empty_body, headers_to_pairs, incoming_body,
};
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::place::{HeldPlace, Place};
use super::{Gate, NO_TARGET_RETRY_AFTER_MS, TARGET_REFUSED_RETRY_AFTER_MS};
use crate::border::TargetVerdict;
use crate::journal::Line;
use crate::running::{RunAnswer, RunHead, RunReply};
use crate::target_pool::TargetConnection;

/// Header in which a target says how long it keeps idle connections.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

impl Gate {
    /// Judges a target's answer and reads as much of it as must be there before it is passed on.
    pub(super) async fn answered(
        &self,
        head: &RunHead,
        place: Place,
        connection: TargetConnection,
        response: Response<Incoming>,
        deadline: TimeUs,
    ) -> (RunAnswer, ByteBody) {
        let (parts, body) = response.into_parts();
        let encoded = parts.headers.contains_key(CONTENT_ENCODING);
        let request_id = head.request_id.as_deref();
        let verdict = match encoded {
            true => TargetVerdict::Unusable,
            false => self.wire.judge(request_id, head.repeatable, parts.status, &parts.headers),
        };
        let body = incoming_body(body);
        let reading = tokio::time::timeout(self.clock.until(deadline), ReplayBody::read(body, u64::MAX));
        let body = match (verdict, reading.await) {
            (TargetVerdict::Unusable, _) => {
                self.pool.spoilt(self.clock.now());
                self.log_target(head, "target_answer_unusable", parts.status.as_str());
                return self.unknown(head, Reason::BadAnswer);
            }
            (_, Err(_)) => return self.unknown(head, Reason::Deadline),
            (_, Ok(Err(error))) => {
                self.pool.spoilt(self.clock.now());
                self.log_target(head, "target_answer_broken", &error.to_string());
                return self.unknown(head, Reason::BadAnswer);
            }
            (_, Ok(Ok(body))) => body,
        };
        match verdict {
            TargetVerdict::Answer => self.pass_on(place, connection, parts.status, &parts.headers, body),
            TargetVerdict::NotRun | TargetVerdict::OtherInstance | TargetVerdict::Unusable => {
                self.keep(connection, &parts.headers);
                self.metrics.count("target_refused", head.service.as_str());
                let reason = if verdict == TargetVerdict::NotRun { Reason::Shed } else { Reason::NoTarget };
                self.log_target(head, "target_refused", parts.status.as_str());
                self.not_run(head, Refusal::not_run(reason, Some(TARGET_REFUSED_RETRY_AFTER_MS)), true)
            }
        }
    }

    /// Hands the target's answer on. A short body is whole by now; a long one holds the slot until its end.
    fn pass_on(
        &self,
        place: Place,
        connection: TargetConnection,
        status: StatusCode,
        headers: &HeaderMap,
        mut body: ReplayBody,
    ) -> (RunAnswer, ByteBody) {
        let mut pairs = headers_to_pairs(headers);
        pairs.retain(|pair| pair.name != CONTENT_LENGTH.as_str());
        let is_whole = matches!(body, ReplayBody::Buffered(_));
        if let ReplayBody::Buffered(bytes) = &body {
            let value = bytes.len().to_string().into_bytes();
            pairs.push(HeaderPair { name: CONTENT_LENGTH.as_str().to_owned(), value });
        }
        let body = body.next_attempt().unwrap_or_else(empty_body);
        let body = if is_whole {
            self.keep(connection, headers);
            place.finish();
            body
        } else {
            WatchedBody::new(body, HeldPlace::new(place, connection)).boxed_unsync()
        };
        let reply = RunReply::Answered { status: status.as_u16(), headers: pairs };
        (RunAnswer { reply, report: self.report() }, body)
    }

    fn keep(&self, connection: TargetConnection, headers: &HeaderMap) {
        let closes = headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes {
            self.pool.put_back(connection, headers.get(&KEEP_ALIVE).and_then(keep_alive_s), self.clock.now());
        }
    }

    pub(super) fn unreachable(&self, head: &RunHead, detail: &str) -> (RunAnswer, ByteBody) {
        lock(&self.table).target.set_reachable(false);
        self.log_target(head, "target_unreachable", detail);
        self.not_run(head, Refusal::not_run(Reason::NoTarget, Some(NO_TARGET_RETRY_AFTER_MS)), false)
    }

    pub(super) fn not_run(&self, head: &RunHead, refusal: Refusal, reached_target: bool) -> (RunAnswer, ByteBody) {
        self.metrics.count("gate_refused", refusal.reason.as_str());
        let reply = RunReply::NotRun { refusal, reached_target };
        let report = self.report();
        let line = Line::new("gate_refused")
            .maybe("request", head.request_id.as_deref())
            .text("route", &head.route)
            .text("reason", refusal.reason.as_str())
            .number("rank", head.rank.0)
            .number("left_ms", head.deadline_left_us / 1_000)
            .number("running", report.as_ref().map_or(0, |report| report.running))
            .number("waiting", report.as_ref().map_or(0, |report| report.waiting))
            .number("limit", report.as_ref().map_or(0, |report| report.limit));
        self.journal.write(line, self.clock.now());
        (RunAnswer { reply, report }, empty_body())
    }

    pub(super) fn unknown(&self, head: &RunHead, reason: Reason) -> (RunAnswer, ByteBody) {
        self.metrics.count("gate_unknown", reason.as_str());
        let line = Line::new("gate_unknown")
            .maybe("request", head.request_id.as_deref())
            .text("route", &head.route)
            .text("reason", reason.as_str());
        self.journal.write(line, self.clock.now());
        (RunAnswer { reply: RunReply::Unknown { reason }, report: self.report() }, empty_body())
    }

    pub(super) fn log_target(&self, head: &RunHead, event: &'static str, detail: &str) {
        let line = Line::new(event)
            .maybe("request", head.request_id.as_deref())
            .text("service", &head.service)
            .text("instance", &head.instance)
            .text("detail", detail);
        self.journal.write(line, self.clock.now());
    }
}

fn keep_alive_s(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let parameters = text.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let mut timeouts = parameters.filter(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    timeouts.next().and_then(|(_, seconds)| seconds.trim().parse().ok())
}
