//! The project's own processes, started with the command of the deploy file and settings like its template, and the
//! platform's view of whether they are ready.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::time::Duration;

use crate::http::request;
use crate::record::Record;

/// Ports for the nodes, below those that the system assigns to outgoing connections.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 18_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Time after which all processes are ended, whatever the case waits for, in milliseconds.
const WATCHDOG_MS: u64 = 100_000;

/// Processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all started processes and this one after [`WATCHDOG_MS`].
pub fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_millis(WATCHDOG_MS));
        for id in RUNNING.lock().unwrap().drain(..) {
            signal("KILL", id);
        }
        std::process::exit(2);
    });
}

fn signal(name: &str, id: u32) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status();
}

pub struct Node {
    pub name: String,
    pub caller: SocketAddr,
    ready: SocketAddr,
    pub control: SocketAddr,
    program: String,
    settings: String,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
    record: Record,
    misses: AtomicU32,
}

/// What a node's settings say about its surroundings.
pub struct Place<'p> {
    pub name: &'p str,
    pub zone: &'p str,
    pub service: &'p str,
    pub target: SocketAddr,
    pub store: SocketAddr,
}

impl Node {
    pub fn new(program: &str, place: &Place<'_>, record: &Record) -> std::io::Result<Self> {
        let [caller, ready, control, peer, metrics] = [(); 5].map(|()| free_address());
        let Place { name, zone, service, target, store } = place;
        let settings = format!(
            "{{\"name\":\"{name}\",\"availability_zone\":\"{zone}\",\"caller_address\":\"{caller}\",\
             \"ready_address\":\"{ready}\",\"control_address\":\"{control}\",\"peer_address\":\"{peer}\",\
             \"metrics_address\":\"{metrics}\",\"target_address\":\"{target}\",\"service\":\"{service}\",\
             \"store_address\":\"{store}\",\"max_descriptors\":4100,\"memory_mb\":260,\"first_start\":FIRST,\
             \"bounds\":{{\"revoke_ms\":5000,\"grace_s\":6,\"quota_slack\":20,\"retry_ratio\":0.2,\"retry_slack\":48}}}}"
        );
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            name: (*name).to_owned(),
            caller,
            ready,
            control,
            program: program.to_owned(),
            settings,
            folder,
            child: None,
            starts: 0,
            record: record.clone(),
            misses: AtomicU32::new(0),
        })
    }

    /// Starts the process. Only the first start of the deployment is its bootstrap.
    pub fn start(&mut self) -> std::io::Result<()> {
        let file = self.folder.join(format!("{}.jsonc", self.name));
        let is_first = if self.starts == 0 { "true" } else { "false" };
        std::fs::write(&file, self.settings.replace("FIRST", is_first))?;
        self.starts += 1;
        let log = File::create(self.folder.join(format!("{}-{}.log", self.name, self.starts)))?;
        let child = Command::new(&self.program).arg(&file).stdout(log).stderr(Stdio::null()).spawn()?;
        self.record.line(&format!("node {}: started", self.name));
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        self.record.line(&format!("node {}: SIGKILL", self.name));
        self.end();
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.record.line(&format!("node {}: SIGTERM", self.name));
        if let Some(child) = &self.child {
            signal("TERM", child.id());
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        if has_ended {
            self.end();
        }
        has_ended
    }

    /// Returns the ID that the node has drawn at its last start, from its own log.
    pub fn logged_id(&self) -> Option<String> {
        let log = std::fs::read_to_string(self.folder.join(format!("{}-{}.log", self.name, self.starts))).ok()?;
        let line = log.lines().find(|line| line.contains("\"event\":\"started\""))?;
        let (_, rest) = line.split_once("\"node\":\"")?;
        rest.split_once('"').map(|(id, _)| id.to_owned())
    }

    /// Asks whether the node is ready, as the platform does once a second.
    pub fn check_ready(&self) -> bool {
        let response = request(self.ready, "GET", "/fulmartrestle/readyz", "", 900);
        let ready = response.is_ok_and(|response| response.word(1) == "200");
        match ready {
            true => self.misses.store(0, Ordering::Relaxed),
            false => {
                self.misses.fetch_add(1, Ordering::Relaxed);
            }
        }
        ready
    }

    /// Returns whether the clients of the machine receive new work: fewer than two misses in a row.
    pub fn is_in(&self) -> bool {
        self.misses.load(Ordering::Relaxed) < 2
    }

    pub fn wait_until_ready(&self, limit_ms: u64) -> Result<(), String> {
        let end = self.record.ms() + limit_ms;
        while !self.check_ready() {
            if self.record.ms() > end {
                return Err(format!("node {} is not ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns an address whose port is free for TCP and UDP.
fn free_address() -> SocketAddr {
    let first = (std::process::id() * 37 % u32::from(PORT_COUNT)) as u16;
    loop {
        let offset = (first + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
