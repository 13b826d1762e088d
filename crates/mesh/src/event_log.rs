//! Structured log lines on standard output, bounded and never in the way. See `docs/OPERATIONS.md`.

mod log_line;
mod writer;

use std::collections::HashMap;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

use fulmartrestle_core::{TimeUs, lock};

pub use log_line::LogLine;
use writer::run_writer;

/// Lines of one event that are written each second; the rest is counted. An overload refuses
/// thousands of requests a second for one and the same reason.
const MAX_LINES_PER_EVENT_PER_S: u32 = 40;

/// Bytes that may wait for the next flush.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// Blocks that may wait for a reader of standard output that is slow.
const MAX_PENDING_BLOCKS: usize = 8;

/// Length of the spans in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct EventWindow {
    written: u32,
    suppressed: u64,
}

#[derive(Debug, Default)]
struct PendingLines {
    text: String,
    windows: HashMap<&'static str, EventWindow>,
    window_started: TimeUs,
    lost_bytes: u64,
}

/// Collects lines and hands them to a thread that writes them. A reader that does not keep up costs
/// lines, which are counted, and never time.
#[derive(Clone, Debug)]
pub struct EventLog {
    pending: Arc<Mutex<PendingLines>>,
    blocks: SyncSender<String>,
}

impl EventLog {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no thread can be started.
    pub fn start() -> std::io::Result<Self> {
        let (blocks, received) = sync_channel(MAX_PENDING_BLOCKS);
        std::thread::Builder::new().name("journal".to_owned()).spawn(move || run_writer(&received))?;
        Ok(Self { pending: Arc::default(), blocks })
    }

    /// Adds a line, unless too many of its event were written in this second.
    pub fn write(&self, line: LogLine, now: TimeUs) {
        let mut pending = lock(&self.pending);
        pending.close_elapsed_window(now);
        let window = pending.windows.entry(line.event()).or_default();
        if window.written >= MAX_LINES_PER_EVENT_PER_S {
            window.suppressed += 1;
            return;
        }
        window.written += 1;
        pending.push(&line.render(now));
    }

    /// Hands what was collected to the writer. Called several times a second.
    pub fn flush(&self, now: TimeUs) {
        let mut pending = lock(&self.pending);
        pending.close_elapsed_window(now);
        if pending.text.is_empty() {
            return;
        }
        let block = std::mem::take(&mut pending.text);
        if let Err(error) = self.blocks.try_send(block) {
            // Standard output does not take the lines. The next line that gets through says how many bytes
            // are missing.
            let (std::sync::mpsc::TrySendError::Full(block) | std::sync::mpsc::TrySendError::Disconnected(block)) =
                error;
            pending.lost_bytes += block.len() as u64;
        }
    }
}

impl PendingLines {
    fn close_elapsed_window(&mut self, now: TimeUs) {
        if now.ms_since(self.window_started) < WINDOW_MS {
            return;
        }
        self.window_started = now;
        let windows = std::mem::take(&mut self.windows);
        for (event, window) in windows.into_iter().filter(|(_, window)| window.suppressed > 0) {
            let line = LogLine::new("suppressed").text("of", event).number("lines", window.suppressed);
            self.push(&line.render(now));
        }
        if self.lost_bytes > 0 {
            let line = LogLine::new("log_lost").number("bytes", self.lost_bytes);
            self.lost_bytes = 0;
            self.push(&line.render(now));
        }
    }

    fn push(&mut self, text: &str) {
        if self.text.len() + text.len() > MAX_PENDING_BYTES {
            self.lost_bytes += text.len() as u64;
            return;
        }
        self.text.push_str(text);
    }
}
