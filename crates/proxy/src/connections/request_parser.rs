//! Parsing of client requests: the end of a message and the parameters in its head.

use std::ops::Range;

use bytes::Bytes;
use httparse::{Header, Request, Status};
use pinefront_policy::{Idempotency, Micros};
use siphasher::sip::SipHasher13;

use crate::config::Config;
use crate::connections::head_scan::HeadScan;
use crate::connections::http_message::{
    self, ConflictingFraming, Framing, MAX_FIELDS, MAX_HEAD_BYTES,
};
use crate::connections::memory_waits::MemoryNeed;
use crate::connections::message_body::{BodyState, MessageBody};
use crate::connections::request_error::RequestError;
use crate::state::buffers::ReadBuffer;
use crate::state::clock::US_PER_MS;
use crate::state::finished_requests::RequestNames;

#[cfg(test)]
mod tests;

/// Header field with the id of a request.
pub const ID_FIELD: &str = "x-txn";
/// Header field with the time for which the client still waits, in milliseconds.
pub const REMAINING_FIELD: &str = "x-remaining-ms";
/// Header field by which endpoints recognise a repeated request.
const IDEMPOTENCY_KEY_FIELD: &str = "idempotency-key";
/// Header field that names the tenant.
const TENANT_FIELD: &str = "x-org";
/// Header field that names the class, in addition to the path.
const CLASS_FIELD: &str = "x-lane";
/// Header field with the client's estimate of the time to serve the request, in microseconds.
const WORK_HINT_FIELD: &str = "x-estimate";
/// Header field with the key by which requests are ordered.
const ORDERING_KEY_FIELD: &str = "x-entity";
/// Maximum length of a request id.
const MAX_ID_BYTES: usize = 128;
/// Maximum remaining time of a request; a longer one is reduced to it, which guards against
/// overflow.
const MAX_REMAINING_MS: u64 = 3_600_000;

/// The extent of a complete request message in a buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestFrame {
    /// Length of the head in bytes.
    pub head_length: usize,
    /// Byte range of the body.
    pub body: Range<usize>,
    /// Index of the first byte after the message.
    pub end: usize,
}

/// A complete request message.
pub struct RequestMessage {
    /// Bytes of the message.
    pub bytes: Bytes,
    /// Length of the head in bytes.
    pub head_length: usize,
    /// Byte range of the body.
    pub body: Range<usize>,
}

/// Finds the end of the message at the front of a read buffer, as its bytes arrive.
#[derive(Debug, Default)]
pub struct RequestParser {
    scan: HeadScan,
    /// The head, once it is complete.
    head: Option<CompleteHead>,
    /// Number of bytes of heads that were parsed, some of them repeatedly.
    #[cfg(test)]
    pub parsed_bytes: usize,
}

/// What the parser keeps of a complete head.
#[derive(Debug)]
struct CompleteHead {
    body: MessageBody,
    expects_continue: bool,
}

impl RequestParser {
    /// Looks at the bytes received since the last call. Returns `None` while part of the message is
    /// missing. A chunked body is decoded in the buffer.
    ///
    /// # Errors
    ///
    /// Fails when the message is malformed or too large.
    pub fn advance(
        &mut self,
        buffer: &mut ReadBuffer,
    ) -> Result<Option<RequestFrame>, RequestError> {
        if self.head.is_none() {
            let bytes = buffer.bytes();
            if !self.scan.is_due(bytes) && bytes.len() < MAX_HEAD_BYTES {
                return Ok(None);
            }
            #[cfg(test)]
            {
                self.parsed_bytes += bytes.len();
            }
            self.head = parse_head(bytes)?;
        }
        let Some(head) = &mut self.head else {
            return Ok(None);
        };
        let head_length = head.body.head_length();
        match head.body.advance(buffer, false) {
            BodyState::Complete { range, end } => {
                self.head = None;
                self.scan = HeadScan::default();
                Ok(Some(RequestFrame {
                    head_length,
                    body: range,
                    end,
                }))
            }
            BodyState::Partial => Ok(None),
            BodyState::TooLong => Err(RequestError::BodyTooLarge),
            BodyState::Malformed => Err(RequestError::MalformedMessage),
        }
    }

    /// Memory that the message needs until it is complete, as far as that is known.
    pub fn memory_need(&self) -> MemoryNeed {
        MemoryNeed::of_message(self.head.as_ref().map(|head| &head.body))
    }

    /// Whether the head is complete and expects `100 Continue` before the body is sent.
    pub fn expects_continue(&self) -> bool {
        self.head.as_ref().is_some_and(|head| head.expects_continue)
    }
}

/// Parameters of a request, from its head.
pub struct RequestParameters<'a> {
    /// Request id, assigned by the client.
    pub id: &'a str,
    /// Index of the class.
    pub class: usize,
    /// The names by which the request is recognized if it comes again.
    pub names: RequestNames,
    /// Index of the tenant; the number of tenants if the settings do not name it.
    pub tenant: usize,
    /// Time for which the client waits, in microseconds.
    pub remaining: Micros,
    /// Client's estimate of the time to serve the request, in microseconds.
    pub work_hint: Option<Micros>,
    /// Hash of the key by which requests are ordered.
    pub ordering_key: Option<u64>,
}

/// Parses the head at the front of the bytes; returns `None` while part of it is missing.
fn parse_head(bytes: &[u8]) -> Result<Option<CompleteHead>, RequestError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = Request::new(&mut fields);
    let head_length = match head.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::HeadTooLarge);
        }
        Err(_) => return Err(RequestError::MalformedMessage),
    };
    if !http_message::has_only_crlf(&bytes[..head_length]) {
        return Err(RequestError::MalformedMessage);
    }
    Ok(Some(CompleteHead {
        body: MessageBody::new(head_length, request_framing(&head)?),
        expects_continue: http_message::contains_token(head.headers, "expect", "100-continue"),
    }))
}

fn request_framing(head: &Request) -> Result<Framing, RequestError> {
    match http_message::framing(head.headers) {
        Ok(Framing::UntilClose) => Ok(Framing::Length(0)),
        // HTTP/1.0 has no chunked coding, so other parsers would interpret this body differently.
        Ok(Framing::Chunked) if head.version == Some(0) => Err(RequestError::MalformedMessage),
        Ok(framing) => Ok(framing),
        Err(ConflictingFraming) => Err(RequestError::MalformedMessage),
    }
}

/// Parses the parameters of a request from its head.
///
/// # Errors
///
/// Fails for an unknown class, a method that the class does not allow, and missing, repeated or
/// malformed fields.
pub fn request_parameters<'a>(
    config: &Config,
    method: &str,
    path: &str,
    fields: &[Header<'a>],
) -> Result<RequestParameters<'a>, RequestError> {
    let class = class_index(config, fields, path).ok_or(RequestError::UnknownClass)?;
    let idempotency = config.idempotencies[class];
    let expected_method = match idempotency {
        Idempotency::Idempotent => "GET",
        _ => "POST",
    };
    if method != expected_method {
        return Err(RequestError::MethodNotAllowed);
    }
    let id = request_id(fields).ok_or(RequestError::InvalidField(ID_FIELD))?;
    let remaining = remaining_time(fields).ok_or(RequestError::InvalidField(REMAINING_FIELD))?;
    let needs_key = matches!(idempotency, Idempotency::IdempotencyKey { .. });
    let key = http_message::unique_field_value(fields, IDEMPOTENCY_KEY_FIELD);
    if needs_key && key.is_none_or(str::is_empty) {
        return Err(RequestError::InvalidField(IDEMPOTENCY_KEY_FIELD));
    }
    let tenant = http_message::field_value(fields, TENANT_FIELD)
        .map_or(config.tenants.len(), |name| config.tenant_index(name));
    Ok(RequestParameters {
        id,
        class,
        names: RequestNames::new(id, class, key, idempotency),
        tenant,
        remaining,
        work_hint: http_message::field_value(fields, WORK_HINT_FIELD)
            .and_then(|text| text.parse().ok()),
        ordering_key: http_message::field_value(fields, ORDERING_KEY_FIELD).map(ordering_key_hash),
    })
}

/// Returns the path of a request target, without a host before it and a query after it.
pub fn target_path(target: &str) -> &str {
    let path = match target.split_once("://") {
        Some((_, rest)) if !target.starts_with('/') => {
            &rest[rest.find('/').unwrap_or(rest.len())..]
        }
        _ => target,
    };
    path.split('?').next().unwrap_or(path)
}

/// Returns the index of the class named by the first part of the path; `None` if the class field
/// names another one.
fn class_index(config: &Config, fields: &[Header], path: &str) -> Option<usize> {
    let path_class = path.strip_prefix('/')?.split('/').next()?;
    match http_message::field_value(fields, CLASS_FIELD) {
        Some(class) if class != path_class => None,
        _ => config
            .classes
            .iter()
            .position(|name| name == path_class && !name.is_empty()),
    }
}

fn request_id<'a>(fields: &[Header<'a>]) -> Option<&'a str> {
    let id = http_message::unique_field_value(fields, ID_FIELD)?;
    let is_printable = id.bytes().all(|byte| byte.is_ascii_graphic());
    (!id.is_empty() && id.len() <= MAX_ID_BYTES && is_printable).then_some(id)
}

/// Returns the hash of an ordering key, which is the same on all balancers. Requests whose keys
/// share a hash only wait for each other.
fn ordering_key_hash(text: &str) -> u64 {
    SipHasher13::new().hash(text.as_bytes())
}

/// Time for which the client waits, in microseconds.
fn remaining_time(fields: &[Header]) -> Option<Micros> {
    let text = http_message::unique_field_value(fields, REMAINING_FIELD)?;
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| {
        let remaining_ms = text.parse().unwrap_or(MAX_REMAINING_MS);
        US_PER_MS * remaining_ms.min(MAX_REMAINING_MS)
    })
}
