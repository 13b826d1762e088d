//! Tests of the behaviours of stand-in targets over real connections.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use fulmartrestle_standin::{
    CONTEXT_HEADER, CRASH_MARKER_HEADER, ChildCall, IDEMPOTENCY_KEY_HEADER, Protocol, REQUEST_ID_HEADER, ServiceTime,
    StandinSettings, StandinTarget, TargetBehaviour, TargetResponse,
};
use futures_util::FutureExt;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Service time longer than any test, so that a request stays running until its test ends.
const FOREVER_US: u64 = 3_600_000_000;

fn settings() -> StandinSettings {
    let service_time = ServiceTime { min_us: 0, mean_extra_us: 0 };
    StandinSettings { service_time, ..StandinSettings::new("lineage".parse().expect("a service")) }
}

async fn start(settings: StandinSettings) -> StandinTarget {
    StandinTarget::start(settings).await.expect("a target")
}

fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

fn get(target: &StandinTarget, path: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut request = Request::get(format!("http://{}{path}", target.address()));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::default()).expect("a request")
}

/// Returns the status and the body, or `None` if no complete response arrived.
async fn send(client: &HttpClient, request: Request<Full<Bytes>>) -> Option<(u16, String)> {
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

struct BehaviourCase {
    name: &'static str,
    behaviour: TargetBehaviour,
    path: &'static str,
    status: Option<u16>,
    body: &'static str,
    started: u64,
}

fn behaviour_cases() -> Vec<BehaviourCase> {
    let no_faults = TargetBehaviour::default;
    vec![
        BehaviourCase {
            name: "no fault",
            behaviour: no_faults(),
            path: "/lineage/7",
            status: Some(200),
            body: "/lineage/7",
            started: 1,
        },
        BehaviourCase {
            name: "refusing",
            behaviour: TargetBehaviour { refusing: true, ..no_faults() },
            path: "/lineage",
            status: Some(503),
            body: "refused",
            started: 0,
        },
        BehaviourCase {
            name: "truncated response",
            behaviour: TargetBehaviour { cut_answers: true, ..no_faults() },
            path: "/lineage",
            status: None,
            body: "",
            started: 1,
        },
        BehaviourCase {
            name: "crash",
            behaviour: TargetBehaviour { crash_marker: Some("boom".to_owned()), ..no_faults() },
            path: "/lineage/boom",
            status: None,
            body: "",
            started: 0,
        },
        BehaviourCase {
            name: "low load reported",
            behaviour: TargetBehaviour { reported_load: Some(0.125), ..no_faults() },
            path: "/load",
            status: Some(200),
            body: "0.125",
            started: 0,
        },
        BehaviourCase {
            name: "health reported while refusing",
            behaviour: TargetBehaviour { refusing: true, reported_healthy: Some(true), ..no_faults() },
            path: "/health",
            status: Some(200),
            body: "true",
            started: 0,
        },
    ]
}

#[tokio::test]
async fn each_behaviour_applies_over_http1_and_h2c() {
    for http2 in [false, true] {
        for case in behaviour_cases() {
            let client: HttpClient = Client::builder(TokioExecutor::new()).http2_only(http2).build_http();
            let target = start(StandinSettings { behaviour: case.behaviour, ..settings() }).await;
            let response = send(&client, get(&target, case.path, &[])).await;
            let name = format!("{} http2 {http2}", case.name);
            assert_that!(response.as_ref().map(|(status, _)| *status), eq(case.status), "{name}");
            let (_, body) = response.unwrap_or_default();
            assert_that!(body, contains_substring(case.body), "{name}");
            assert_that!(target.stats().started, eq(case.started), "{name}");
        }
    }
}

#[tokio::test]
async fn a_crashed_target_refuses_connections_until_it_is_restarted() {
    let target = start(settings()).await;
    target.change_behaviour(|behaviour| behaviour.crash_marker = Some("boom".to_owned()));
    let client = client();
    assert_that!(send(&client, get(&target, "/lineage", &[(CRASH_MARKER_HEADER, "boom")])).await, none());
    assert_that!(send(&client, get(&target, "/lineage", &[])).await, none());
    target.restart();
    while send(&client, get(&target, "/lineage", &[])).await.is_none() {
        tokio::task::yield_now().await;
    }
    assert_that!(target.stats().crashes, eq(1));
}

#[tokio::test]
async fn silenced_connections_never_respond_and_new_ones_do() {
    let target = start(settings()).await;
    let silenced_client = client();
    send(&silenced_client, get(&target, "/lineage", &[])).await.expect("a response before the connection is silenced");
    target.silence_open_connections();
    let mut silenced = Box::pin(send(&silenced_client, get(&target, "/lineage", &[])));
    assert_that!(silenced.as_mut().now_or_never(), none());
    for _ in 0..20 {
        let response = send(&client(), get(&target, "/lineage", &[])).await;
        assert_that!(response, some((eq(&200), anything())));
    }
    assert_that!(silenced.as_mut().now_or_never(), none());
    assert_that!(target.stats().received, eq(21));
}

#[tokio::test]
async fn requests_beyond_the_slots_wait_in_the_target() {
    let service_time = ServiceTime { min_us: FOREVER_US, mean_extra_us: 0 };
    let target = start(StandinSettings { slots: 2, service_time, ..settings() }).await;
    let clients: Vec<_> = (0..3).map(|_| client()).collect();
    let sends = clients.iter().map(|client| send(client, get(&target, "/lineage", &[])));
    let all_sent = futures_util::future::join_all(sends);
    let all_arrived = async {
        while target.stats().running + target.stats().queued < 3 {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        _ = all_sent => panic!("the work never ends"),
        () = all_arrived => {}
    }
    let stats = target.stats();
    assert_that!((stats.running, stats.queued, stats.started), eq((2, 1, 2)));
}

#[tokio::test]
async fn stats_count_runs_and_api_keys() {
    let key_markers = vec!["fk-".to_owned()];
    let target = start(StandinSettings { key_markers, ..settings() }).await;
    let client = client();
    let sends: [&[(&str, &str)]; 5] = [
        &[(REQUEST_ID_HEADER, "a"), (IDEMPOTENCY_KEY_HEADER, "i")],
        &[(REQUEST_ID_HEADER, "a"), (IDEMPOTENCY_KEY_HEADER, "i")],
        &[(REQUEST_ID_HEADER, "b"), (IDEMPOTENCY_KEY_HEADER, "j")],
        &[(REQUEST_ID_HEADER, "c"), ("authorization", "Bearer x")],
        &[("forwarded", "for=fk-12")],
    ];
    for headers in sends {
        send(&client, get(&target, "/lineage", headers)).await.expect("a response");
    }
    let runs = target.runs_by_call();
    let mut counts: Vec<_> = runs.iter().map(|(key, count)| (key.request_id.clone(), count.count)).collect();
    counts.sort();
    let expected = [("a", 2), ("b", 1), ("c", 1)].map(|(id, count)| (id.to_owned(), count));
    assert_that!(counts, container_eq(expected));
    let stats = target.stats();
    assert_that!(stats.ran_twice.into_iter().collect::<Vec<_>>(), elements_are![eq(&("i".to_owned(), 2))]);
    assert_that!(stats.keys_seen, eq(2));
    assert_that!(stats.key_headers, elements_are![eq("authorization"), eq("forwarded")]);
    let last = target.recorded_requests().pop().expect("a request");
    assert_that!(last.headers, contains(eq(&("forwarded".to_owned(), "for=fk-12".to_owned()))));
}

#[tokio::test]
async fn child_calls_carry_the_context_and_their_failure_fails_the_request() {
    let archive = start(StandinSettings::new("archive".parse().expect("a service"))).await;
    let children = vec![ChildCall { path: "/archive".to_owned(), count: 2 }];
    let lineage = start(StandinSettings { children, node_caller: Some(archive.address()), ..settings() }).await;
    let headers = [(REQUEST_ID_HEADER, "r1"), (CONTEXT_HEADER, "signed")];
    let client = client();
    let (_, body) = send(&client, get(&lineage, "/lineage/7", &headers)).await.expect("a response");
    let response: TargetResponse = serde_json::from_str(&body).expect("the response of a target");
    assert_that!((response.request_id.as_str(), response.child_calls), eq(("r1", 2)));
    let received = archive.recorded_requests();
    let paths: Vec<_> = received.iter().map(|request| request.path.as_str()).collect();
    assert_that!(paths, elements_are![eq(&"/archive/7.0"), eq(&"/archive/7.1")]);
    let context = (CONTEXT_HEADER.to_owned(), "signed".to_owned());
    assert_that!(received.iter().all(|request| request.headers.contains(&context)), eq(true));

    archive.change_behaviour(|behaviour| behaviour.refusing = true);
    let (status, body) = send(&client, get(&lineage, "/lineage/8", &headers)).await.expect("a response");
    assert_that!(status, eq(503));
    assert_that!(body, contains_substring("another service").and(contains_substring("503")));
}

/// Starts a server in place of a node's admin listener. The receiver gets the bodies of announcements, each with
/// its request path.
async fn start_admin() -> (SocketAddr, mpsc::UnboundedReceiver<serde_json::Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let sender = sender.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let sender = sender.clone();
                async move {
                    let path = request.uri().path().to_owned();
                    let body = request.into_body().collect().await.expect("a body").to_bytes();
                    let mut body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
                    body["path"] = path.into();
                    let _ = sender.send(body);
                    Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
                }
            });
            let connection = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(socket), service);
            tokio::spawn(connection);
        }
    });
    (address, receiver)
}

/// Longest time from the start of a target to its first announcement, in milliseconds.
const START_TOLERANCE_MS: i64 = 5_000;

#[tokio::test]
async fn a_target_announces_its_start_and_that_it_is_leaving() {
    let (admin, mut announcements) = start_admin().await;
    let announced = StandinSettings { node_admin: Some(admin), slots: 7, connections: 9, warm_up_ms: 5, ..settings() };
    let target = start(StandinSettings { protocol: Protocol::H2c, ..announced }).await;
    let unix_now_ms = || {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since_epoch.expect("a time after the epoch").as_millis() as i64
    };
    let before_ms = unix_now_ms() - START_TOLERANCE_MS;
    let first = announcements.recv().await.expect("an announcement");
    let started_unix_ms = first["started_unix_ms"].as_i64();
    assert_that!(started_unix_ms, some(all!(ge(before_ms), le(unix_now_ms()))));
    // The same start is announced until the target restarts.
    let mut expected = serde_json::json!({
        "started_unix_ms": started_unix_ms,
        "path": "/v1/target", "service": "lineage", "address": target.address().to_string(), "slots": 7,
        "connections": 9, "warm_up_ms": 5, "leaving": false, "protocol": "h2c",
    });
    assert_that!(first, eq(&expected));
    target.change_behaviour(|behaviour| behaviour.draining = true);
    expected["leaving"] = true.into();
    while announcements.recv().await.expect("an announcement") != expected {}
}
