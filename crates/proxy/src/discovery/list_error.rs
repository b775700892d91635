//! Errors in endpoint lists and their entries.

use pinefront_settings::fields::FieldError;
use thiserror::Error;

/// Why an endpoint list or one of its entries is invalid.
#[derive(Debug, Error)]
pub enum ListError {
    /// The list is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The address of an entry is not a socket address.
    #[error("invalid socket address '{0}' in field 'endpoint': expected IP:PORT")]
    Address(String),
    /// The state of an entry is unknown.
    #[error("unknown state '{0}' in field 'state': expected 'active', 'leaving' or 'left'")]
    UnknownState(String),
}
