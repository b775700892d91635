//! The error of the testbed: what could not be done, as text for its user.

use std::fmt;

/// Why a run, a measurement or a report failed.
#[derive(Debug)]
pub struct Error(String);

impl Error {
    /// An error with that text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(problem: std::io::Error) -> Self {
        Self(problem.to_string())
    }
}

/// Adds what was attempted to an error.
pub trait Context<T> {
    /// Turns the error into one that starts with `action`.
    fn context(self, action: impl fmt::Display) -> Result<T, Error>;
}

impl<T, E: fmt::Display> Context<T> for Result<T, E> {
    fn context(self, action: impl fmt::Display) -> Result<T, Error> {
        self.map_err(|problem| Error::new(format!("{action}: {problem}")))
    }
}
