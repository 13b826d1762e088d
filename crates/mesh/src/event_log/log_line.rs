//! One structured log line.

use std::fmt::{Display, Write};

use fulmartrestle_core::TimeUs;

/// A line of JSON that names an event and what it was decided on.
#[derive(Debug)]
pub struct LogLine {
    event: &'static str,
    text: String,
}

impl LogLine {
    /// Starts a line.
    pub fn new(event: &'static str) -> Self {
        Self { event, text: String::new() }
    }

    /// Returns the event's name.
    pub fn event(&self) -> &'static str {
        self.event
    }

    /// Adds a text.
    #[must_use]
    pub fn text(mut self, name: &str, value: impl Display) -> Self {
        let value = serde_json::Value::String(value.to_string());
        self.push(name, &value);
        self
    }

    /// Adds a text when there is one.
    #[must_use]
    pub fn optional_text(self, name: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.text(name, value),
            None => self,
        }
    }

    /// Adds a number.
    #[must_use]
    pub fn number(mut self, name: &str, value: impl Into<u64>) -> Self {
        self.push(name, &value.into());
        self
    }

    /// Adds whether something holds.
    #[must_use]
    pub fn flag(mut self, name: &str, value: bool) -> Self {
        self.push(name, &value);
        self
    }

    /// Returns the whole line.
    pub fn render(&self, now: TimeUs) -> String {
        format!("{{\"at_us\":{},\"event\":\"{}\"{}}}\n", now.0, self.event, self.text)
    }

    fn push(&mut self, name: &str, value: &dyn Display) {
        // Writing to a `String` can't fail.
        let _ = write!(self.text, ",\"{name}\":{value}");
    }
}
