//! Structured log lines on standard output, rate-limited and without blocking the caller. See
//! `docs/OPERATIONS.md`.

mod log_line;
mod writer;

use std::collections::HashMap;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

use fulmartrestle_core::{TimeUs, lock};

pub use log_line::LogLine;
pub use writer::write_blocks;

/// Maximum number of lines of one event that are written per second; further lines are only counted. In an overload,
/// thousands of requests per second are refused for the same reason.
const MAX_LINES_PER_EVENT_PER_S: u32 = 40;

/// Maximum number of bytes that are buffered until the next flush.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// Maximum number of blocks that are queued for a slow reader of standard output.
const MAX_PENDING_BLOCKS: usize = 8;

/// Length of the window in which the lines of an event are counted, in milliseconds.
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

/// Buffers log lines and passes them to a writer thread. If the reader of standard output is too slow, lines are
/// dropped and counted; callers never wait.
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
    /// Returns the system's error if the thread cannot be started.
    pub fn start() -> std::io::Result<Self> {
        let (blocks, received) = sync_channel(MAX_PENDING_BLOCKS);
        std::thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || write_blocks(&received, std::io::stdout()))?;
        Ok(Self { pending: Arc::default(), blocks })
    }

    /// Adds a line, unless its event has reached the limit of this second.
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

    /// Passes the buffered lines to the writer thread. Must be called several times a second.
    pub fn flush(&self, now: TimeUs) {
        let mut pending = lock(&self.pending);
        pending.close_elapsed_window(now);
        if pending.text.is_empty() {
            return;
        }
        let block = std::mem::take(&mut pending.text);
        if let Err(error) = self.blocks.try_send(block) {
            // The queue is full or the writer thread has ended. A later `log_lost` line reports the number of
            // bytes lost.
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
