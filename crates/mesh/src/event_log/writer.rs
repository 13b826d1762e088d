//! The thread that writes log lines.

use std::io::Write;
use std::sync::mpsc::Receiver;

/// Largest write, in bytes. Collectors of standard output cut longer ones.
const MAX_WRITE_BYTES: usize = 8 * 1024;

/// Writes blocks of lines to `output`, at most 8 KiB at a time, until the event log is dropped.
pub fn write_blocks(blocks: &Receiver<String>, mut output: impl Write) {
    while let Ok(block) = blocks.recv() {
        let written =
            pieces(&block).try_for_each(|piece| output.write_all(piece.as_bytes()).and_then(|()| output.flush()));
        if written.is_err() {
            // Standard output is closed, and there is no other place to report the error.
            return;
        }
    }
}

/// Divides a block into pieces of whole lines that are short enough for one write. A longer line is a piece of its own.
fn pieces(block: &str) -> impl Iterator<Item = &str> {
    let mut rest = block;
    std::iter::from_fn(move || {
        let mut end = 0;
        for line in rest.split_inclusive('\n') {
            if end > 0 && end + line.len() > MAX_WRITE_BYTES {
                break;
            }
            end += line.len();
        }
        let (piece, after) = rest.split_at(end);
        rest = after;
        (!piece.is_empty()).then_some(piece)
    })
}
