//! A place in a document that a person wrote.

use fulmartrestle_derive::local;

/// A line and column of a named file, both counted from one; columns count characters.
#[local]
#[derive(Eq)]
pub struct Place {
    /// The file's name as the reader of the error knows it.
    pub file: String,
    /// The line, from one.
    pub line: usize,
    /// The column, from one, in characters.
    pub column: usize,
}

impl Place {
    /// Returns the place of byte `at` of `text`. A byte past the end is taken as the end.
    pub fn of_byte(file: &str, text: &str, at: usize) -> Self {
        let mut end = at.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        Self { file: file.to_owned(), line, column }
    }
}

impl std::fmt::Display for Place {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}:{}", self.file, self.line, self.column)
    }
}
