//! Status codes of responses to clients.

use std::fmt;

/// An HTTP status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusCode(u16);

impl StatusCode {
    /// 200 OK.
    pub const OK: Self = Self(200);
    /// 400 Bad Request.
    pub const BAD_REQUEST: Self = Self(400);
    /// 404 Not Found.
    pub const NOT_FOUND: Self = Self(404);
    /// 405 Method Not Allowed.
    pub const METHOD_NOT_ALLOWED: Self = Self(405);
    /// 408 Request Timeout.
    pub const REQUEST_TIMEOUT: Self = Self(408);
    /// 409 Conflict.
    pub const CONFLICT: Self = Self(409);
    /// 413 Content Too Large.
    pub const CONTENT_TOO_LARGE: Self = Self(413);
    /// 431 Request Header Fields Too Large.
    pub const HEADER_FIELDS_TOO_LARGE: Self = Self(431);
    /// 502 Bad Gateway.
    pub const BAD_GATEWAY: Self = Self(502);
    /// 503 Service Unavailable.
    pub const SERVICE_UNAVAILABLE: Self = Self(503);

    /// Returns the status code with this number.
    pub fn new(number: u16) -> Self {
        Self(number)
    }

    /// Returns the number of the code.
    pub fn number(self) -> u16 {
        self.0
    }

    /// Returns the reason phrase of the status line.
    pub fn reason_phrase(self) -> &'static str {
        match self {
            Self::OK => "OK",
            Self::BAD_REQUEST => "Bad Request",
            Self::NOT_FOUND => "Not Found",
            Self::METHOD_NOT_ALLOWED => "Method Not Allowed",
            Self::REQUEST_TIMEOUT => "Request Timeout",
            Self::CONFLICT => "Conflict",
            Self::CONTENT_TOO_LARGE => "Content Too Large",
            Self::HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
            Self::BAD_GATEWAY => "Bad Gateway",
            Self::SERVICE_UNAVAILABLE => "Service Unavailable",
            _ => "Answer",
        }
    }
}

impl fmt::Display for StatusCode {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(out)
    }
}
