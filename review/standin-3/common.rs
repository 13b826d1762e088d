//! Stand-ins for the cases 11 to 15: a store, workers, clients and the start of the project's sidecar.
//! Only the standard library is used, so that `rustc` builds it without a registry.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as i64)
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes `record.txt`. Each line starts with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    /// The folder of the case is the first argument of the program.
    pub fn start() -> Self {
        std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
        let folder = std::env::args().nth(1).unwrap_or_else(|| give_up("the folder of the case is missing"));
        let file = File::create(Path::new(&folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| give_up(&format!("record.txt: {error}")));
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

/// Processes that were started and not waited for yet.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// The temporary folder of the case.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that the case has started, and removes its temporary folder.
fn clean_up() {
    for process in lock(&STARTED).drain(..) {
        // SAFETY: a plain system call; the process is a child that has not been waited for.
        unsafe { kill(process, SIGKILL) };
    }
    if let Some(folder) = lock(&FOLDER).take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Ends the case because it can't run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    clean_up();
    std::process::exit(NOT_RUN);
}

/// Ends all nodes and the case.
pub fn end(recorder: &Recorder, nodes: &[&Node], code: i32, reason: &str) -> ! {
    for node in nodes {
        node.kill();
    }
    recorder.write(&format!("result={code} {reason}"));
    println!("{reason}");
    clean_up();
    std::process::exit(code);
}

/// Ports of the machines: below those that systems give to outgoing connections, which could take one that is free now.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

/// Returns an address whose port is free for TCP and UDP. No port is returned twice.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let start = std::process::id().wrapping_mul(97) % PORTS;
    for _ in 0..PORTS {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) as u32;
        let port = FIRST_PORT + (start + number) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    give_up("no free port")
}

/// A directory for settings and logs, removed at the end.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&format!("temporary folder: {error}")));
    *lock(&FOLDER) = Some(folder.clone());
    folder
}

// ---------------------------------------------------------------------------------------------- HTTP

/// The head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or status.
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start_line.is_empty() {
                true => Ok(None),
                false => Err(invalid("the connection ended within a head")),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body of a stated length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let chunked = message.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(invalid("the connection ended within a chunked body"));
            }
            let size = line.trim().split(';').next().unwrap_or_default().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| invalid("chunk size"))?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            let mut end = [0; 2];
            reader.read_exact(&mut end)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)
}

/// A client's connection to a node.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(15_000)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the head of a response.
    pub fn read_head(&mut self) -> io::Result<Message> {
        read_head(&mut self.reader)?.ok_or_else(|| invalid("the connection ended without a response"))
    }

    /// Reads a whole response.
    pub fn read_response(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        read_body(&mut self.reader, &mut message)?;
        Ok(message)
    }

    pub fn reader(&mut self) -> &mut BufReader<TcpStream> {
        &mut self.reader
    }
}

/// The bytes of a client's request.
pub fn request_bytes(method: &str, path: &str, host: &str, id: &str, deadline_ms: u64, key: Option<&str>, body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline: {deadline_ms}\r\n");
    if let Some(key) = key {
        head.push_str(&format!("Authorization: Token {key}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// --------------------------------------------------------------------------------------------- Store

struct Record {
    bytes: Vec<u8>,
    written: Instant,
}

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Vec<Record>>,
    era: u64,
    down: bool,
}

/// The platform's store. It keeps its records in memory.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    appended: Condvar,
    recorder: Recorder,
}

impl Store {
    pub fn start(recorder: &Recorder) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&format!("store: {error}")));
        let address = listener.local_addr().unwrap_or_else(|error| give_up(&format!("store: {error}")));
        let state = Mutex::new(StoreState { era: 1, ..StoreState::default() });
        let store = Arc::new(Self { address, state, appended: Condvar::new(), recorder: recorder.clone() });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record of the operator. The return is the acknowledgement.
    pub fn write_operator(&self, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append("keyed.op", vec![record]);
        self.recorder.write(&format!("operator wrote op/{key} ({} bytes), acknowledged", value.len()));
    }

    /// The store closes all connections without an answer, or serves them again.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
        self.appended.notify_all();
        self.recorder.write(if down { "store is away" } else { "store is back" });
    }

    /// The store goes back to a copy of the given age.
    pub fn restore_copy(&self, age: Duration) {
        let mut state = lock(&self.state);
        state.era += 1;
        let mut lost = 0;
        for records in state.topics.values_mut() {
            let kept = records.iter().position(|record| record.written.elapsed() < age).unwrap_or(records.len());
            lost += records.len() - kept;
            records.truncate(kept);
        }
        let era = state.era;
        drop(state);
        self.appended.notify_all();
        self.recorder.write(&format!("store holds a copy {} ms old, era {era}, {lost} records lost", age.as_millis()));
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut state = lock(&self.state);
        let stored = state.topics.entry(topic.to_owned()).or_default();
        let offset = stored.len();
        stored.extend(records.into_iter().map(|bytes| Record { bytes, written: Instant::now() }));
        let end = stored.len();
        drop(state);
        self.appended.notify_all();
        (offset, end)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            if lock(&self.state).down {
                return;
            }
            let (status, body) = self.respond(&request);
            let (era, down) = {
                let state = lock(&self.state);
                (state.era, state.down)
            };
            if down {
                return;
            }
            let head = format!("HTTP/1.1 {status} Status\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n", body.len());
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        match (request.method(), request.path()) {
            ("POST", "/fulmartrestle/log-append") => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return (403, b"{}".to_vec());
                }
                let (mut records, mut rest) = (Vec::new(), &request.body[..]);
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    if rest.len() < 4 + length {
                        return (400, b"{}".to_vec());
                    }
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                sleep_ms(4);
                let (offset, end) = self.append(&topic, records);
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            ("GET", "/fulmartrestle/log-read") => self.read(request, &topic),
            ("GET", "/fulmartrestle/log-newest") => (200, self.newest(&topic)),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn read(&self, request: &Message, topic: &str) -> (u16, Vec<u8>) {
        let number = |name: &str| request.query(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
        let (from, until) = (number("from") as usize, Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut state = lock(&self.state);
        let era = state.era;
        loop {
            if state.down {
                return (503, Vec::new());
            }
            let end = state.topics.get(topic).map_or(0, Vec::len);
            if from > end || state.era != era {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in state.topics.get(topic).into_iter().flatten().skip(from) {
                    body.extend_from_slice(&(record.bytes.len() as u32).to_be_bytes());
                    body.extend_from_slice(&record.bytes);
                }
                return (200, body);
            }
            state = match self.appended.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = lock(&self.state);
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let Some((&length, rest)) = record.bytes.split_first() else { continue };
            let (key, value) = rest.split_at((length as usize).min(rest.len()));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value.to_vec()));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value)))
            .collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"end\":{}}}", items.join(","), records.len()).into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------- Node

/// Addresses of one machine, and the node on it.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    pub app: SocketAddr,
    store: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    recorder: Recorder,
}

impl Node {
    /// Reserves the addresses of a machine whose worker listens on `app`.
    pub fn new(recorder: &Recorder, folder: &Path, name: &str, zone: &str, service: &str, app: SocketAddr, store: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            outbound: free_address(),
            ready: free_address(),
            control: free_address(),
            peer: free_address(),
            metrics: free_address(),
            app,
            store,
            settings: folder.join(format!("{name}.conf")),
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
            recorder: recorder.clone(),
        }
    }

    /// Fills in the project's template of the settings, as the platform does.
    fn write_settings(&self, bootstrap: bool) {
        let template = fs::read_to_string("deploy/sidecar.jsonc")
            .unwrap_or_else(|error| give_up(&format!("deploy/sidecar.jsonc: {error}")));
        let json = |text: &dyn std::fmt::Display| format!("\"{text}\"");
        let mut text = template;
        for (name, value) in [
            ("{{node_name|json}}", json(&self.name)),
            ("{{zone|json}}", json(&self.zone)),
            ("{{listen.outbound|json}}", json(&self.outbound)),
            ("{{listen.ready|json}}", json(&self.ready)),
            ("{{listen.control|json}}", json(&self.control)),
            ("{{ip}}:{{internal_ports.0}}", self.peer.to_string()),
            ("{{ip}}:7001", self.metrics.to_string()),
            ("{{app_addr|json}}", json(&self.app)),
            ("{{service|json}}", json(&self.service)),
            ("{{platform.addr|json}}", json(&self.store)),
            ("{{limits.max_fds}}", "4100".to_owned()),
            ("{{limits.memory_mb}}", "260".to_owned()),
            ("{{bootstrap|json}}", bootstrap.to_string()),
            ("{{bounds.revoke_ms}}", "5000".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
            ("{{bounds.quota_slack}}", "20".to_owned()),
            ("{{bounds.retry_ratio}}", "0.2".to_owned()),
            ("{{bounds.retry_slack}}", "48".to_owned()),
            ("{{#bounds.config_apply_ms}}", String::new()),
            ("{{/bounds.config_apply_ms}}", String::new()),
            ("{{bounds.config_apply_ms}}", "2000".to_owned()),
        ] {
            text = text.replace(name, &value);
        }
        // The deployment has no bounds for cold workers.
        while let (Some(start), Some(end)) = (text.find("{{#"), text.find("{{/")) {
            let end = end + text[end..].find("}}").unwrap_or(0) + 2;
            text.replace_range(start..end, "");
        }
        fs::write(&self.settings, text).unwrap_or_else(|error| give_up(&format!("settings: {error}")));
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self, bootstrap: bool) {
        self.write_settings(bootstrap);
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.unwrap_or_else(|error| give_up(&format!("log: {error}")));
        let child = Command::new("target/release/fulmartrestle-sidecar")
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|error| give_up(&format!("fulmartrestle-sidecar: {error}")));
        self.recorder.write(&format!("{} starts, bootstrap={bootstrap}", self.name));
        lock(&STARTED).push(child.id() as i32);
        *lock(&self.child) = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*lock(&self.child) {
            // SAFETY: a plain system call; the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
            self.recorder.write(&format!("{} gets signal {signal}", self.name));
        }
    }

    /// Returns the exit code if the process has ended.
    pub fn ended(&self) -> Option<Option<i32>> {
        let mut child = lock(&self.child);
        child.as_mut()?.try_wait().ok().flatten().map(|status| status.code())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
            lock(&STARTED).retain(|process| *process != child.id() as i32);
        }
    }

    pub fn is_ready(&self) -> bool {
        let asked = Connection::open(self.ready).and_then(|mut connection| {
            connection.stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            connection.send(b"GET /fulmartrestle/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            connection.read_response()
        });
        asked.is_ok_and(|response| response.status() == 200)
    }

    pub fn wait_until_ready(&self) {
        for _ in 0..400 {
            if self.is_ready() {
                return self.recorder.write(&format!("{} is ready", self.name));
            }
            sleep_ms(25);
        }
        give_up(&format!("{} is not ready", self.name))
    }

    /// Copies the end of the node's log into the record.
    pub fn record_log(&self, filter: &[&str]) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines().filter(|line| filter.iter().any(|wanted| line.contains(wanted))) {
            self.recorder.write(&format!("log of {}: {line}", self.name));
        }
    }
}

// -------------------------------------------------------------------------------------------- Worker

/// What a worker does with a request that it runs. Returns whether the connection stays open.
pub type Handler = dyn Fn(&Worker, &Message, &mut TcpStream) -> bool + Send + Sync;

/// A worker beside a node.
pub struct Worker {
    pub id: Mutex<String>,
    pub born: AtomicI64,
    pub service: String,
    pub zone: String,
    pub slots: u64,
    pub address: SocketAddr,
    pub leaving: AtomicBool,
    pub beats: AtomicBool,
    seq: AtomicU64,
    runs: Mutex<Vec<(u64, String)>>,
    recorder: Recorder,
    handler: Box<Handler>,
}

impl Worker {
    pub fn start(
        recorder: &Recorder,
        id: &str,
        service: &str,
        zone: &str,
        slots: u64,
        handler: impl Fn(&Worker, &Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&format!("worker: {error}")));
        let address = listener.local_addr().unwrap_or_else(|error| give_up(&format!("worker: {error}")));
        let worker = Arc::new(Self {
            id: Mutex::new(id.to_owned()),
            born: AtomicI64::new(unix_ms()),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address,
            leaving: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            seq: AtomicU64::new(0),
            runs: Mutex::default(),
            recorder: recorder.clone(),
            handler: Box::new(handler),
        });
        let served = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&served);
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Sends heartbeats to a control address from now on.
    pub fn announce(self: &Arc<Self>, control: SocketAddr) {
        let worker = Arc::clone(self);
        thread::spawn(move || loop {
            if worker.beats.load(Ordering::Relaxed) {
                worker.beat(control);
            }
            sleep_ms(1_500);
        });
    }

    /// Sends one heartbeat. Returns whether it was acknowledged.
    pub fn beat(&self, control: SocketAddr) -> bool {
        let body = self.next_beat();
        self.send_beat(control, &body)
    }

    /// Sends the body of a heartbeat. Returns whether it was acknowledged.
    pub fn send_beat(&self, control: SocketAddr, body: &str) -> bool {
        self.tell(control, "Instances.Heartbeat", body)
    }

    /// Returns the body of the next heartbeat.
    pub fn next_beat(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
        format!(
            "{{\"addr\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\
             \"status\":{{\"state\":\"{state}\",\"seq\":{seq},\"cold_left_ms\":0}}}}",
            self.address, self.born.load(Ordering::Relaxed), self.service, self.zone, self.slots
        )
    }

    pub fn tell(&self, control: SocketAddr, what: &str, body: &str) -> bool {
        let id = lock(&self.id).clone();
        let head = format!(
            "POST /fulmartrestle/{what}/{id} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let told = Connection::open(control).and_then(|mut connection| {
            connection.stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
            connection.send(format!("{head}{body}").as_bytes())?;
            connection.read_response()
        });
        told.is_ok_and(|response| (200..300).contains(&response.status()))
    }

    pub fn runs(&self) -> Vec<(u64, String)> {
        lock(&self.runs).clone()
    }

    pub fn has_run(&self, id: &str) -> bool {
        lock(&self.runs).iter().any(|(_, known)| known == id)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let instance = lock(&self.id).clone();
            let request_id = request.header("request-id").unwrap_or_default().to_owned();
            if request.path() == "/healthz" {
                let status = if self.leaving.load(Ordering::Relaxed) { 503 } else { 200 };
                let answer = format!("HTTP/1.1 {status} Health\r\nInstance-Id: {instance}\r\nContent-Length: 0\r\n\r\n");
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if request.header("expect-instance").is_some_and(|expected| expected != instance) {
                let answer = format!("HTTP/1.1 421 Other\r\nRequest-Id: {request_id}\r\nContent-Length: 0\r\n\r\n");
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let tenant = request.header("tenant-id").unwrap_or("-").to_owned();
            let deadline = request.header("deadline").unwrap_or("-").to_owned();
            self.recorder.write(&format!(
                "worker {instance} runs {request_id} {} tenant={tenant} deadline={deadline}",
                request.start_line
            ));
            lock(&self.runs).push((self.recorder.now_ms(), request_id));
            if !(self.handler)(self, &request, &mut writer) {
                return;
            }
        }
    }

    /// Writes a whole response.
    pub fn answer(&self, request: &Message, stream: &mut TcpStream, status: u16, body: &[u8]) -> bool {
        let id = request.header("request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes).is_ok()
    }
}

/// The text of a configuration. `routes`, `services` and `tenants` are JSON lists; without tenants no keys are needed.
pub fn config(version: u32, routes: &str, services: &str, tenants: Option<&str>) -> String {
    let tenants = tenants.map_or(String::new(), |tenants| format!("\"tenants\":{tenants},"));
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{routes},\"services\":{services},{tenants}\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":8000000,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Sends one request on a new connection. Returns the response, or why there is none.
pub fn ask(address: SocketAddr, bytes: &[u8]) -> Result<Message, String> {
    let asked = Connection::open(address).and_then(|mut connection| {
        connection.send(bytes)?;
        connection.read_response()
    });
    asked.map_err(|error| error.to_string())
}
