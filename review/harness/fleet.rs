//! Starts the store, the project's processes and their workers.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::exchange;
use crate::http::Message;
use crate::store;
use crate::worker::{Answer, Worker};

const SIDECAR: &str = "target/release/fulmartrestle-sidecar";
const STORE: &str = "target/release/fulmartrestle-standin-log";

/// Ports below the system's range for outgoing connections.
const FIRST_PORT: u16 = 21_000;
const LAST_PORT: u16 = 31_000;

/// The processes that run, for the case that the scenario does not end by itself.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of a scenario that has run for too long, and this one.
pub fn end_after(limit: Duration) {
    std::thread::sleep(limit);
    for id in RUNNING.lock().expect("not poisoned").iter() {
        // It may have ended meanwhile.
        let _ = Command::new("kill").args(["-KILL".to_owned(), id.to_string()]).status();
    }
    eprintln!("the scenario did not end in time");
    std::process::exit(2);
}

/// Starts a process that is ended with this one.
fn spawn(command: &mut Command) -> Child {
    let child = command.spawn().expect("the program starts");
    RUNNING.lock().expect("not poisoned").push(child.id());
    child
}

/// Waits for a process to end.
fn wait(child: &mut Child) {
    let _ = child.wait();
    RUNNING.lock().expect("not poisoned").retain(|id| *id != child.id());
}

/// One machine: a node and a worker.
pub struct Machine {
    pub service: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub worker: Arc<Worker>,
    settings: PathBuf,
    node: Option<Child>,
}

/// A deployment. Dropping it ends all its processes and removes its folder.
pub struct Fleet {
    pub store: SocketAddr,
    pub machines: Vec<Machine>,
    store_process: Child,
    folder: PathBuf,
    record: Mutex<File>,
    started: Instant,
    next_port: u16,
}

impl Fleet {
    /// Starts a store, writes the configuration, and starts a machine for each service.
    pub fn start(
        case_folder: &str,
        config: &str,
        services: &[&str],
        behaviour: impl Fn(usize, &Message) -> Answer + Clone + Send + Sync + 'static,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("fulmartrestle-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let record = File::create(Path::new(case_folder).join("record.txt")).expect("the record can be written");
        let mut store_process = spawn(Command::new(STORE).args(["--listen", "127.0.0.1:0"]).stdout(Stdio::piped()));
        let mut line = String::new();
        let output = store_process.stdout.take().expect("standard output is piped");
        BufReader::new(output).read_line(&mut line).expect("the store is ready");
        let store = line.trim().rsplit(' ').next().and_then(|text| text.parse().ok()).expect("the store's address");
        store::write(store, "keyed.op", "config", config);
        let span = u32::from(LAST_PORT - FIRST_PORT);
        let next_port = FIRST_PORT + (std::process::id() * 97 % span) as u16;
        let mut fleet = Self {
            store,
            machines: Vec::new(),
            store_process,
            folder,
            record: Mutex::new(record),
            started: Instant::now(),
            next_port,
        };
        for (index, service) in services.iter().enumerate() {
            fleet.add_machine(index, service, behaviour.clone());
        }
        for index in 0..fleet.machines.len() {
            fleet.wait_until_ready(index);
        }
        fleet
    }

    fn free_listener(&mut self) -> TcpListener {
        loop {
            self.next_port = if self.next_port >= LAST_PORT { FIRST_PORT } else { self.next_port + 1 };
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", self.next_port)) {
                return listener;
            }
        }
    }

    fn add_machine(
        &mut self,
        index: usize,
        service: &str,
        behaviour: impl Fn(usize, &Message) -> Answer + Send + Sync + 'static,
    ) {
        let listener = self.free_listener();
        let target = listener.local_addr().expect("an address");
        let free: Vec<TcpListener> = (0..5).map(|_| self.free_listener()).collect();
        let addresses: Vec<SocketAddr> = free.iter().map(|free| free.local_addr().expect("an address")).collect();
        drop(free);
        let [caller, ready, control, peer, metrics] = addresses[..] else { unreachable!() };
        let settings = self.folder.join(format!("settings-{index}.conf"));
        let text = format!(
            r#"{{"name":"sidecar-{index}","availability_zone":"milano","caller_address":"{caller}","ready_address":"{ready}",
"control_address":"{control}","peer_address":"{peer}","metrics_address":"{metrics}","target_address":"{target}",
"service":"{service}","store_address":"{}","max_descriptors":4100,"memory_mb":260,"first_start":true,
"bounds":{{"revoke_ms":5000,"grace_s":6,"quota_slack":20,"retry_ratio":0.2,"retry_slack":48}}}}"#,
            self.store
        );
        fs::write(&settings, text).expect("settings can be written");
        let instance = format!("i-{index}");
        let node = start_node(&settings);
        let worker =
            Worker::start(&instance, service, listener, control, Box::new(move |request| behaviour(index, request)));
        self.machines.push(Machine {
            service: service.to_owned(),
            caller,
            ready,
            control,
            worker,
            settings,
            node: Some(node),
        });
    }

    /// Waits until a node is ready and its worker has been heard.
    pub fn wait_until_ready(&self, index: usize) {
        let machine = &self.machines[index];
        let until = Instant::now() + Duration::from_secs(20);
        let ready = b"GET /fulmartrestle/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            let acknowledged = machine.worker.beats_acknowledged.load(std::sync::atomic::Ordering::Relaxed);
            if acknowledged > 0 && exchange(machine.ready, ready).is_some_and(|response| response.status() == 200) {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("node {index} is not ready");
    }

    /// Sends a signal to the node of a machine.
    pub fn signal(&self, index: usize, name: &str) {
        let Some(node) = &self.machines[index].node else { return };
        let status = Command::new("kill").args([format!("-{name}"), node.id().to_string()]).status();
        assert!(status.expect("kill runs").success(), "the node {index} takes SIG{name}");
    }

    /// Waits for the node of a machine to end, and starts it again.
    pub fn start_again(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if let Some(mut node) = machine.node.take() {
            wait(&mut node);
        }
        // Only the first start of the whole system is marked as such.
        let text = fs::read_to_string(&machine.settings).expect("settings can be read");
        fs::write(&machine.settings, text.replace(r#""first_start":true"#, r#""first_start":false"#)).expect("written");
        machine.node = Some(start_node(&machine.settings));
    }

    /// Writes a line with the time since the start to the record.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().expect("not poisoned");
        writeln!(record, "{:8.3} {text}", self.started.elapsed().as_secs_f64()).expect("the record can be written");
    }
}

fn start_node(settings: &Path) -> Child {
    let log = File::create(settings.with_extension("log")).expect("a log file");
    spawn(Command::new(SIDECAR).arg(settings).stdout(log))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut node) = machine.node.take() {
                let _ = node.kill();
                wait(&mut node);
            }
        }
        let _ = self.store_process.kill();
        wait(&mut self.store_process);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
