//! The error type of the testbed: a text for the user.

use std::fmt;

/// The reason why a run, a measurement or a report failed.
#[derive(Debug)]
pub struct Error(String);

impl Error {
    /// Creates an error that is displayed as `text`.
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
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

/// Adds a description of the failed action to an error.
pub trait Context<T> {
    /// Converts the error into one whose text is `action`, a colon and the original text.
    fn context(self, action: impl fmt::Display) -> Result<T, Error>;
}

impl<T, E: fmt::Display> Context<T> for Result<T, E> {
    fn context(self, action: impl fmt::Display) -> Result<T, Error> {
        self.map_err(|error| Error::new(format!("{action}: {error}")))
    }
}
