//! Reasons for which a client's message is not accepted as a request.

use thiserror::Error;

use crate::close_reason::CloseReason;
use crate::connections::http_message::{MAX_BODY_BYTES, MAX_FIELDS, MAX_HEAD_BYTES};
use crate::connections::status_code::StatusCode;

/// Reasons for which a client's message is not accepted as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The message is not a valid HTTP/1.1 request, or its end is ambiguous.
    #[error("malformed message")]
    MalformedMessage,
    /// The head is too long or has too many fields.
    #[error("head of more than {MAX_HEAD_BYTES} bytes or {MAX_FIELDS} fields")]
    HeadTooLarge,
    /// The body is too long.
    #[error("body of more than {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
    /// The client took too long to send the request.
    #[error("request took too long to arrive")]
    TimedOut,
    /// Buffered requests have reached the memory limit.
    #[error("memory limit reached")]
    MemoryLimit,
    /// The request was still incomplete when the shutdown stopped waiting for it.
    #[error("shutting down")]
    ShuttingDown,
    /// The path names no known class, or the class field names a different class.
    #[error("unknown class")]
    UnknownClass,
    /// The class or page requires another method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// A required field is missing, repeated or malformed.
    #[error("field '{0}' is missing, repeated or malformed")]
    InvalidField(&'static str),
    /// A request with this id is already in flight. A second one would replace it, and the first
    /// one would get no response.
    #[error("a request with this id is in flight")]
    DuplicateId,
}

impl RequestError {
    /// Returns the status code of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::MalformedMessage | Self::InvalidField(_) => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::CONTENT_TOO_LARGE,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::MemoryLimit | Self::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownClass => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::DuplicateId => StatusCode::CONFLICT,
        }
    }

    /// Returns the reason for closing the connection after the response; none if the next request
    /// can be read from the connection.
    pub fn close_reason(self) -> Option<CloseReason> {
        match self {
            Self::MalformedMessage => Some(CloseReason::Malformed),
            Self::HeadTooLarge => Some(CloseReason::HeadTooLarge),
            Self::BodyTooLarge => Some(CloseReason::BodyTooLarge),
            Self::TimedOut => Some(CloseReason::SlowSender),
            Self::MemoryLimit => Some(CloseReason::MemoryLimit),
            Self::ShuttingDown => Some(CloseReason::Shutdown),
            Self::UnknownClass
            | Self::MethodNotAllowed
            | Self::InvalidField(_)
            | Self::DuplicateId => None,
        }
    }
}
