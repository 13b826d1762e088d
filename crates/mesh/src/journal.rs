//! Structured log lines on standard output, bounded and never in the way. See `docs/OPERATIONS.md`.

mod line;
mod writer;

use std::collections::HashMap;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

use fulmartrestle_core::{TimeUs, lock};

pub use line::Line;
use writer::run_writer;

/// Lines of one event that are written each second; the rest is counted. An overload refuses
/// thousands of requests a second for one and the same reason.
const LINES_PER_EVENT_PER_S: u32 = 40;

/// Bytes that may wait for the next flush.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// Blocks that may wait for a reader of standard output that is slow.
const MAX_PENDING_BLOCKS: usize = 8;

/// Length of the spans in which lines are counted, in milliseconds.
const SPAN_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Span {
    written: u32,
    suppressed: u64,
}

#[derive(Debug, Default)]
struct Pending {
    text: String,
    spans: HashMap<&'static str, Span>,
    span_started: TimeUs,
    lost_bytes: u64,
}

/// Collects lines and hands them to a thread that writes them. A reader that does not keep up costs
/// lines, which are counted, and never time.
#[derive(Clone, Debug)]
pub struct Journal {
    pending: Arc<Mutex<Pending>>,
    blocks: SyncSender<String>,
}

impl Journal {
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
    pub fn write(&self, line: Line, now: TimeUs) {
        let mut pending = lock(&self.pending);
        pending.close_span(now);
        let span = pending.spans.entry(line.event()).or_default();
        if span.written >= LINES_PER_EVENT_PER_S {
            span.suppressed += 1;
            return;
        }
        span.written += 1;
        pending.push(&line.finish(now));
    }

    /// Hands what was collected to the writer. Called several times a second.
    pub fn flush(&self, now: TimeUs) {
        let mut pending = lock(&self.pending);
        pending.close_span(now);
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

impl Pending {
    fn close_span(&mut self, now: TimeUs) {
        if now.ms_since(self.span_started) < SPAN_MS {
            return;
        }
        self.span_started = now;
        let spans = std::mem::take(&mut self.spans);
        for (event, span) in spans.into_iter().filter(|(_, span)| span.suppressed > 0) {
            let line = Line::new("suppressed").text("of", event).number("lines", span.suppressed);
            self.push(&line.finish(now));
        }
        if self.lost_bytes > 0 {
            let line = Line::new("log_lost").number("bytes", self.lost_bytes);
            self.lost_bytes = 0;
            self.push(&line.finish(now));
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
