//! Stand-in for a worker. The query of a request's path says what it does: `work` is how long it works before its answer,
//! `bytes` the length of the body, and `stream` how long it takes to send the body, in milliseconds.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Message, read_body, read_head, request, respond};
use crate::record::Record;

/// Interval of heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

/// Parts in which a body is sent.
const BODY_PARTS: u64 = 50;

/// How a run ended, as the worker sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    AtWork,
    /// The whole answer was written.
    Answered,
    /// The connection was closed before.
    Cut,
    /// The worker itself exited.
    Exited,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub started_ms: u64,
    pub ended_ms: u64,
    pub end: RunEnd,
}

pub struct Worker {
    pub id: String,
    born: u64,
    service: String,
    zone: String,
    pub address: SocketAddr,
    control: SocketAddr,
    record: Record,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
    has_exited: AtomicBool,
    sends_heartbeats: AtomicBool,
    seq: Mutex<u64>,
}

impl Worker {
    /// Binds the worker's address, so that its node can be told it.
    pub fn bind() -> std::io::Result<TcpListener> {
        TcpListener::bind("127.0.0.1:0")
    }

    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        listener: TcpListener,
        control: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            born: now.as_millis() as u64,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            control,
            record: record.clone(),
            runs: Mutex::default(),
            connections: Mutex::default(),
            has_exited: AtomicBool::new(false),
            sends_heartbeats: AtomicBool::new(true),
            seq: Mutex::new(0),
        });
        let served = Arc::clone(&worker);
        listener.set_nonblocking(true)?;
        std::thread::spawn(move || served.accept(&listener));
        let beating = Arc::clone(&worker);
        std::thread::spawn(move || {
            while beating.sends_heartbeats.load(Ordering::Relaxed) {
                let body = beating.next_heartbeat();
                // A node that is down answers nothing; the next heartbeat follows.
                let _ = beating.send_heartbeat(&body);
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        Ok(worker)
    }

    /// Returns the body of the next heartbeat.
    pub fn next_heartbeat(&self) -> String {
        let mut seq = self.seq.lock().unwrap();
        *seq += 1;
        format!(
            "{{\"addr\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":40}},\
             \"status\":{{\"state\":\"ready\",\"seq\":{seq},\"cold_left_ms\":0}}}}",
            self.address, self.born, self.service, self.zone
        )
    }

    pub fn send_heartbeat(&self, body: &str) -> std::io::Result<Message> {
        request(self.control, "POST", &format!("/fulmartrestle/Instances.Heartbeat/{}", self.id), body, 1_000)
    }

    pub fn stop_heartbeats(&self) {
        self.sends_heartbeats.store(false, Ordering::Relaxed);
    }

    /// Says that the worker leaves, with no body, as in the printed example, again if the node does not answer yet. Returns
    /// when it was acknowledged, or `None` if it was not.
    pub fn deregister(&self) -> Option<u64> {
        let path = format!("/fulmartrestle/Instances.Deregister/{}", self.id);
        for _ in 0..5 {
            self.record.line(&format!("worker {}: deregisters", self.id));
            let response = request(self.control, "POST", &path, "", 1_000);
            let acknowledged = response.is_ok_and(|response| response.word(1).starts_with('2'));
            self.record.line(&format!("worker {}: acknowledged {acknowledged}", self.id));
            if acknowledged {
                return Some(self.record.ms());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Ends the worker: its listener and all its connections close.
    pub fn exit(&self) {
        self.record.line(&format!("worker {}: exits", self.id));
        self.stop_heartbeats();
        self.has_exited.store(true, Ordering::Relaxed);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.has_exited.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let worker = Arc::clone(self);
            std::thread::spawn(move || {
                let _ = worker.serve(stream);
            });
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        self.connections.lock().unwrap().push(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request, 0)?;
            if request.header("expect-instance").is_some_and(|instance| instance != self.id) {
                respond(&mut writer, "421 Misdirected Request", "Not-Executed: 1\r\n", b"");
                continue;
            }
            self.run(&request, &mut writer)?;
        }
        Ok(())
    }

    fn run(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let request_id = request.header("request-id").unwrap_or_default().to_owned();
        let deadline_ms = request.header("deadline").and_then(|value| value.parse().ok()).unwrap_or(u64::MAX);
        let query = request.word(1).split_once('?').map_or("", |(_, query)| query);
        let parameter = |name: &str| -> u64 {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
        };
        let (work_ms, bytes, stream_ms) = (parameter("work"), parameter("bytes").max(8), parameter("stream"));
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                request_id: request_id.clone(),
                started_ms: self.record.ms(),
                ended_ms: 0,
                end: RunEnd::AtWork,
            });
            runs.len() - 1
        };
        self.record.line(&format!("worker {}: runs {request_id}", self.id));
        std::thread::sleep(Duration::from_millis(work_ms.min(deadline_ms)));
        let status = if work_ms > deadline_ms { "504 Gateway Timeout" } else { "200 OK" };
        let head = format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nResponse-Stamp: {}.{request_id}\r\nContent-Length: {bytes}\r\n\r\n",
            self.id
        );
        let written = writer.write_all(head.as_bytes()).and_then(|()| {
            let part = vec![b'x'; (bytes / BODY_PARTS) as usize];
            let rest = vec![b'x'; (bytes % BODY_PARTS) as usize];
            for _ in 0..BODY_PARTS {
                writer.write_all(&part)?;
                std::thread::sleep(Duration::from_micros(stream_ms * 1_000 / BODY_PARTS));
            }
            writer.write_all(&rest)
        });
        let end = match (&written, self.has_exited.load(Ordering::Relaxed)) {
            (_, true) => RunEnd::Exited,
            (Ok(()), false) => RunEnd::Answered,
            (Err(_), false) => RunEnd::Cut,
        };
        self.record.line(&format!("worker {}: {request_id} ended: {end:?}", self.id));
        let mut runs = self.runs.lock().unwrap();
        runs[index].ended_ms = self.record.ms();
        runs[index].end = end;
        written
    }
}
