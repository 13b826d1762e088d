//! A stand-in for the worker on a machine, which follows PROTOCOL.md.

use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::exchange;
use crate::http::{Message, read_body, read_head};

/// `heartbeat_ms` of the settings.
const HEARTBEAT_MS: u64 = 1_500;

/// A request that a worker has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub caller_service: String,
    pub method: String,
    pub path: String,
    pub body_bytes: usize,
    pub at: Instant,
}

/// How a worker answers.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Time that the work takes.
    pub work_ms: u64,
    /// Size of the body.
    pub body_bytes: usize,
    /// Bytes after which the worker breaks off.
    pub cut_after: Option<usize>,
    /// Whether a refusal that belongs to no request follows, late: where the next response on the connection is expected.
    pub late_refusal: bool,
}

impl Answer {
    pub fn quick() -> Self {
        Self { work_ms: 5, body_bytes: 200, cut_after: None, late_refusal: false }
    }
}

type Behaviour = Box<dyn Fn(&Message) -> Answer + Send + Sync>;

/// One worker. Its threads end with the process.
pub struct Worker {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    /// Where the worker says what it is.
    pub control: SocketAddr,
    pub born_ms: u64,
    pub runs: Mutex<Vec<Run>>,
    pub beats_acknowledged: AtomicU64,
    pub beats: AtomicBool,
    sequence: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
    behaviour: Behaviour,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

impl Worker {
    /// Starts a worker that listens on `listener` and reports to `control`.
    pub fn start(
        instance: &str,
        service: &str,
        listener: TcpListener,
        control: SocketAddr,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            instance: instance.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            control,
            born_ms: unix_ms(),
            runs: Mutex::default(),
            beats_acknowledged: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            streams: Mutex::default(),
            ended: AtomicBool::new(false),
            behaviour,
        });
        let accepting = Arc::clone(&worker);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::Relaxed) {
                    // Closes the port.
                    return;
                }
                let worker = Arc::clone(&accepting);
                // Errors end the connection.
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        let beating = Arc::clone(&worker);
        std::thread::spawn(move || beating.beat());
        worker
    }

    /// Returns the bytes of the next heartbeat.
    pub fn next_beat(&self) -> Vec<u8> {
        let seq = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        beat_request(&self.instance, &beat_body(&self.service, &self.address.to_string(), self.born_ms, seq))
    }

    fn beat(&self) {
        loop {
            if self.beats.load(Ordering::Relaxed) {
                let response = exchange(self.control, &self.next_beat());
                if response.is_some_and(|response| response.status() == 200) {
                    self.beats_acknowledged.fetch_add(1, Ordering::Relaxed);
                }
            }
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }

    /// Says that the worker is gone, and returns the status of the answer.
    pub fn deregister(&self) -> u16 {
        let body = format!(r#"{{"born":{}}}"#, self.born_ms);
        let request = format!(
            "POST /fulmartrestle/Instances.Deregister/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.instance,
            body.len()
        );
        exchange(self.control, request.as_bytes()).map_or(0, |response| response.status())
    }

    /// Ends the worker. Its port and its connections close.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().expect("not poisoned").drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        self.streams.lock().expect("not poisoned").push(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut late_refusal = false;
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request, false)?;
            if !request.complete {
                return Ok(());
            }
            if request.path() == "/healthz" {
                let answer = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.instance);
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            if request.header("expect-instance").is_some_and(|instance| instance != self.instance) {
                let refusal = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.instance
                );
                writer.write_all(refusal.as_bytes())?;
                continue;
            }
            if std::mem::take(&mut late_refusal) {
                writer
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")?;
            }
            let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
            let run = Run {
                id: text("request-id"),
                caller_service: text("caller-service"),
                method: request.method().to_owned(),
                path: request.path().to_owned(),
                body_bytes: request.body.len(),
                at: Instant::now(),
            };
            let id = run.id.clone();
            self.runs.lock().expect("not poisoned").push(run);
            let answer = (self.behaviour)(&request);
            std::thread::sleep(Duration::from_millis(answer.work_ms));
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nServer-Load: 1,0,40\r\nContent-Length: {}\r\n\r\n",
                self.instance, answer.body_bytes
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(&vec![b'x'; answer.cut_after.unwrap_or(answer.body_bytes)])?;
            late_refusal = answer.late_refusal;
            if answer.cut_after.is_some() {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Returns the body of a heartbeat.
pub fn beat_body(service: &str, address: &str, born_ms: u64, seq: u64) -> String {
    format!(
        r#"{{"addr":"{address}","born":{born_ms},"info":{{"service":"{service}","version":"v1","zone":"milano","slots":40}},"status":{{"state":"ready","seq":{seq},"cold_left_ms":0}}}}"#
    )
}

/// Returns the bytes of a heartbeat.
pub fn beat_request(instance: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /fulmartrestle/Instances.Heartbeat/{instance} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
