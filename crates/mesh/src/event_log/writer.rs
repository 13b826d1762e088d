//! The thread that writes log lines.

use std::io::Write;
use std::sync::mpsc::Receiver;

/// Writes blocks of lines to standard output until the event log is dropped.
pub fn run_writer(blocks: &Receiver<String>) {
    let mut output = std::io::stdout();
    while let Ok(block) = blocks.recv() {
        let written = output.write_all(block.as_bytes()).and_then(|()| output.flush());
        if written.is_err() {
            // Standard output is closed, and there is no other place to report the error.
            return;
        }
    }
}
