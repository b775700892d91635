//! Reasons for which a client's message is not accepted as a request.

use thiserror::Error;

use crate::close_reason::CloseReason;
use crate::connections::http_message::{MAX_BODY_BYTES, MAX_FIELDS, MAX_HEAD_BYTES};
use crate::connections::status_code::StatusCode;

/// Reasons for which a client's message is not accepted as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The message is not a valid HTTP/1.1 request, or its end is ambiguous.
    #[error("malformed HTTP/1.1 message")]
    MalformedMessage,
    /// The head is too long or has too many fields.
    #[error("head exceeds {MAX_HEAD_BYTES} bytes or {MAX_FIELDS} fields")]
    HeadTooLarge,
    /// The body is too long.
    #[error("body exceeds {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
    /// The client took too long to send the request.
    #[error("request was not received in time")]
    TimedOut,
    /// Buffered requests have reached the memory limit.
    #[error("memory limit for buffered requests reached")]
    MemoryLimit,
    /// The request was still incomplete when the shutdown stopped waiting for it.
    #[error("balancer is shutting down")]
    ShuttingDown,
    /// The path does not name a known class, or the class field names a different one.
    #[error("class is unknown, or the path and the class field differ")]
    UnknownClass,
    /// The class or page requires another method.
    #[error("method not allowed for this class or page")]
    MethodNotAllowed,
    /// A required field is missing, repeated or malformed.
    #[error("field '{0}' is missing, repeated or malformed")]
    InvalidField(&'static str),
    /// A request with this id is already in flight. A second one would replace it, and the first
    /// one would get no response.
    #[error("a request with this id is already in flight")]
    DuplicateId,
    /// A request with this id or idempotency key is over and may have run. A second run would repeat
    /// its effect.
    #[error("the request may have run before")]
    MayHaveRun,
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
            Self::DuplicateId | Self::MayHaveRun => StatusCode::CONFLICT,
        }
    }

    /// Whether the error is found as soon as a client has sent its message, so that a client can
    /// cause it again and again without any delay.
    pub fn is_found_at_once(self) -> bool {
        !matches!(
            self,
            Self::TimedOut | Self::MemoryLimit | Self::ShuttingDown
        )
    }

    /// Returns the reason for closing the connection after the response; `None` if the next request
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
            | Self::DuplicateId
            | Self::MayHaveRun => None,
        }
    }
}
