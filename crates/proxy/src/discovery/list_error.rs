//! Why an endpoint list, or an entry of it, cannot be taken.

use pinefront_settings::fields::FieldError;
use thiserror::Error;

/// Why an endpoint list, or an entry of it, cannot be taken.
#[derive(Debug, Error)]
pub enum ListError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The entry's address cannot be read.
    #[error("field 'endpoint' is no address and port")]
    Address,
    /// The entry's state is none that we know.
    #[error("field 'state' holds unknown '{0}'")]
    UnknownState(String),
}
