//! A structured log line.

use std::fmt::{Display, Write};

use fulmartrestle_core::TimeUs;

/// A JSON object with the name of an event and the values that led to it.
#[derive(Debug)]
pub struct LogLine {
    event: &'static str,
    text: String,
}

impl LogLine {
    /// Starts a line for `event`.
    pub fn new(event: &'static str) -> Self {
        Self { event, text: String::new() }
    }

    /// Returns the name of the event.
    pub fn event(&self) -> &'static str {
        self.event
    }

    /// Adds a text field.
    #[must_use]
    pub fn text(mut self, name: &str, value: impl Display) -> Self {
        let value = serde_json::Value::String(value.to_string());
        self.push(name, &value);
        self
    }

    /// Adds a text field if `value` is present.
    #[must_use]
    pub fn optional_text(self, name: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.text(name, value),
            None => self,
        }
    }

    /// Adds a numeric field.
    #[must_use]
    pub fn number(mut self, name: &str, value: impl Into<u64>) -> Self {
        self.push(name, &value.into());
        self
    }

    /// Adds a boolean field.
    #[must_use]
    pub fn flag(mut self, name: &str, value: bool) -> Self {
        self.push(name, &value);
        self
    }

    /// Returns the line as JSON with the time `now`, ending with a newline.
    pub fn render(&self, now: TimeUs) -> String {
        format!("{{\"at_us\":{},\"event\":\"{}\"{}}}\n", now.0, self.event, self.text)
    }

    fn push(&mut self, name: &str, value: &dyn Display) {
        // Writing to a `String` cannot fail.
        let _ = write!(self.text, ",\"{name}\":{value}");
    }
}
