//! Error types of the adapter.

use std::io;

use pinefront_policy::Micros;
use pinefront_settings::SettingsError;
use pinefront_settings::fields::FieldError;
use thiserror::Error;

/// The reason why a message is invalid.
#[derive(Debug, Error)]
pub enum MessageError {
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The reason why the adapter stopped.
#[derive(Debug, Error)]
pub enum AdapterError {
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    #[error("cannot write to standard output: {0}")]
    Write(#[source] io::Error),
    #[error("invalid batch: {0}")]
    Batch(#[source] serde_json::Error),
    #[error("message {position} of batch {time}: {error}")]
    Message {
        /// Position of the message in its batch, counted from 0.
        position: usize,
        /// Time of the batch in microseconds.
        time: Micros,
        error: MessageError,
    },
}
