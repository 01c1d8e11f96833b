//! Deserializes settings and scripts written as S-expressions.
//!
//! A file is a sequence of forms `(name value ...)`. A field with several values is a list; a field that is
//! a record holds forms again. The elements of a list of records are records in parentheses, which may begin
//! with the record's name:
//!
//! ```text
//! (host node-1.example)
//! (watchdog 30s)
//! (clients front-1.example front-2.example)
//! (classes
//!   (class (name browse) (aim 1.5s) (worth 1))
//!   (class (name mark-sold) (aim 1s) (worth 8)))
//! ```
//!
//! Values need quotes only if they contain spaces or parentheses, or consist of digits followed by one of the
//! letters a to f (the parser rejects `1a` as a malformed number).
//!
//! [`from_str`] deserializes any serde type. Time spans, rates and sizes are written with units: [`Span`],
//! [`Rate`], [`Size`]. Every error carries line, column and the path of its field.

mod de;
mod tree;
mod units;

pub use de::from_str;
pub use units::{Rate, Size, Span};

use std::fmt;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Line and column, from 1; `None` if the error has no specific position.
    pub place: Option<(usize, usize)>,
    /// The path of the field, as in `classes[1].aim`; empty at the top level.
    pub path: String,
    /// The error, with the value found and what was expected.
    pub message: String,
}

impl Error {
    /// Formats the error as one line with the file name and position.
    pub fn in_file(&self, file: &str) -> String {
        match self.place {
            Some((line, column)) => format!("{file}:{line}:{column}: {self}"),
            None => format!("{file}: {self}"),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            f.write_str(&self.message)
        } else {
            write!(f, "{}: {}", self.path, self.message)
        }
    }
}

impl std::error::Error for Error {}
