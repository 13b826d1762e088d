//! A process of the project, ended when the test ends.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// A running process. Its first line of standard output says where it listens.
pub struct Process {
    child: Child,
    pub ready_line: String,
}

impl Process {
    /// Starts a program and waits for its ready line.
    pub fn start(program: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut ready_line = String::new();
        BufReader::new(stdout).read_line(&mut ready_line).expect("standard output can be read");
        Self { child, ready_line: ready_line.trim().to_owned() }
    }

    /// Returns the address that follows `name=` in the ready line, or its last word without a name.
    pub fn address(&self, name: &str) -> String {
        let word = match name {
            "" => self.ready_line.split(' ').next_back(),
            _ => self.ready_line.split(' ').find_map(|word| word.strip_prefix(&format!("{name}="))),
        };
        word.unwrap_or_else(|| panic!("no address {name} in {:?}", self.ready_line)).to_owned()
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop, without waiting.
    pub fn ask_to_stop(&self) {
        self.signal("TERM");
    }

    /// Asks the process to stop and waits; returns its exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal("TERM");
        self.child.wait().expect("the process can be waited for").code()
    }

    /// Stops the process from running until [`Process::wake`].
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Lets a frozen process run again.
    pub fn wake(&self) {
        self.signal("CONT");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(status.expect("kill can be run").success(), "signal {name} to {pid}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
