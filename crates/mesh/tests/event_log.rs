//! Tests the structured log.

use std::io::Write;
use std::sync::mpsc::sync_channel;

use fulmartrestle_mesh::write_blocks;
use googletest::prelude::*;

/// Keeps each write as a collector of standard output gets it.
#[derive(Default)]
struct Writes(Vec<Vec<u8>>);

impl Write for &mut Writes {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Half of the lines about a crash were missing, because the collector cuts writes of more than 8 KiB.
#[gtest]
fn lines_beyond_8_kib_are_lost_in_a_collector() {
    let lines: Vec<String> = (0..300).map(|number| format!("{number} {}\n", "x".repeat(number))).collect();
    let (sender, blocks) = sync_channel(2);
    sender.send(lines.concat()).expect("there is room");
    sender.send("short\n".to_owned()).expect("there is room");
    drop(sender);
    let mut writes = Writes::default();
    write_blocks(&blocks, &mut writes);
    for write in &writes.0 {
        expect_that!(write.len(), le(8 * 1_024));
        expect_that!(write.ends_with(b"\n"), eq(true));
    }
    expect_that!(writes.0.concat(), eq(&format!("{}short\n", lines.concat()).into_bytes()));
}
