//! Stand-in for the platform's store: a log with keyed topics, one partition each, as PROTOCOL.md describes it.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, respond, serve};
use crate::record::Record;

/// Time that an append takes, in milliseconds.
const APPEND_MS: u64 = 4;

#[derive(Default)]
struct Topics {
    records: HashMap<String, Vec<Vec<u8>>>,
    /// While the store is down, each call gets 503, which means that nothing was done.
    is_down: bool,
    /// Reads that did not wait for a record.
    direct_reads: u64,
}

#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { topics: Arc::default(), address: listener.local_addr()?, record: record.clone() };
        let served = store.clone();
        serve(listener, move |request, writer| served.handle(&request, writer));
        Ok(store)
    }

    pub fn set_down(&self, is_down: bool) {
        self.record.line(if is_down { "store: down, answers 503" } else { "store: up" });
        self.topics.0.lock().unwrap().is_down = is_down;
        self.topics.1.notify_all();
    }

    /// Waits until a node has read without waiting for a record, as some do about once a second.
    pub fn wait_for_direct_read(&self) {
        let reads = || self.topics.0.lock().unwrap().direct_reads;
        let before = reads();
        while reads() == before {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Writes a record of the operator; the return is the acknowledgement.
    pub fn write_operator_record(&self, key: &str, value: &str) {
        self.append("keyed.op", vec![keyed(key.as_bytes(), value.as_bytes())]);
        self.record.line(&format!("operator: op/{key} acknowledged"));
    }

    fn append(&self, topic: &str, new: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.records.entry(topic.to_owned()).or_default();
        let offset = records.len();
        records.extend(new);
        let end = records.len();
        self.topics.1.notify_all();
        (offset, end)
    }

    fn handle(&self, request: &Message, writer: &mut TcpStream) -> bool {
        if self.topics.0.lock().unwrap().is_down {
            return respond(writer, "503 Service Unavailable", "", b"");
        }
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let topic = parameter("topic").unwrap_or_default();
        match path {
            "/fulmartrestle/log-append" if topic == "keyed.op" || topic == "keyed.servers" => {
                respond(writer, "403 Forbidden", "", b"")
            }
            "/fulmartrestle/log-append" => {
                std::thread::sleep(Duration::from_millis(APPEND_MS));
                let records = split_records(&request.body);
                for record in &records {
                    let key_bytes = usize::from(record[0]);
                    let (key, value) = (&record[1..=key_bytes], &record[1 + key_bytes..]);
                    let (key, value) = (String::from_utf8_lossy(key), String::from_utf8_lossy(value));
                    self.record.line(&format!("store: {topic} {key} = {value}"));
                }
                let (offset, end) = self.append(&topic, records);
                let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                respond(writer, "200 OK", "Content-Type: application/json\r\n", body.as_bytes())
            }
            "/fulmartrestle/log-read" => {
                let number = |name| parameter(name).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
                self.read(&topic, number("from"), number("wait_ms") as u64, writer)
            }
            "/fulmartrestle/log-newest" => {
                let body = self.newest(&topic);
                respond(writer, "200 OK", "Content-Type: application/json\r\n", body.as_bytes())
            }
            _ => respond(writer, "404 Not Found", "", b""),
        }
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64, writer: &mut TcpStream) -> bool {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.0.lock().unwrap();
        topics.direct_reads += u64::from(wait_ms == 0);
        let body = loop {
            if topics.is_down {
                drop(topics);
                return respond(writer, "503 Service Unavailable", "", b"");
            }
            let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                break body;
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        };
        drop(topics);
        respond(writer, "200 OK", "", &body)
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.0.lock().unwrap();
        let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: Vec<(String, usize, &[u8])> = Vec::new();
        for (offset, record) in records.iter().enumerate() {
            let key_bytes = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_bytes]).into_owned();
            newest.retain(|(known, _, _)| *known != key);
            if record.len() > 1 + key_bytes {
                newest.push((key, offset, &record[1 + key_bytes..]));
            }
        }
        let item = |(key, offset, value): &(String, usize, &[u8])| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<String> = newest.iter().map(item).collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"end\":{}}}", items.join(","), records.len())
    }
}

fn keyed(key: &[u8], value: &[u8]) -> Vec<u8> {
    [&[key.len() as u8], key, value].concat()
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        records.push(body[4..4 + length].to_vec());
        body = &body[4 + length..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= part.len() { digit } else { '=' });
        }
    }
    text
}
