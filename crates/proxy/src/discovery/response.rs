//! Parses HTTP responses of discovery, complete and incomplete.

use std::ops::Range;

use httparse::{Response, Status};
use pinefront_policy::Micros;

use crate::connections::http_message::{self, Body, MAX_FIELDS, MAX_HEAD_BYTES};
use crate::discovery::polling_schedule::PollFailure;

/// Maximum size of a response in bytes, enough for several thousand endpoints.
pub const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A complete response with a list.
pub struct ListResponse {
    /// The endpoint list as JSON text.
    pub body: Vec<u8>,
    /// Length of the whole message in bytes.
    pub length: usize,
    /// Whether the connection can carry another poll.
    pub keep_alive: bool,
}

/// Parses the response at the start of `bytes`, or returns `None` while part of it is missing.
/// `is_closed` means that the peer sends no more bytes, which ends a body of unknown length.
///
/// # Errors
///
/// Fails when discovery rejected the poll or the bytes are not a valid response.
pub fn read_response(bytes: &[u8], is_closed: bool) -> Result<Option<ListResponse>, PollFailure> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = Response::new(&mut fields);
    let head_length = match response.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(PollFailure::Malformed),
    };
    if response.code != Some(200) {
        return Err(PollFailure::Rejected {
            retry_after: retry_after(&response),
        });
    }
    let framing = http_message::framing(response.headers).map_err(|_| PollFailure::Malformed)?;
    let keep_alive = http_message::is_keep_alive(&response, framing);
    match http_message::find_body(bytes, head_length, framing, is_closed, MAX_RESPONSE_BYTES) {
        Body::Complete { slices, end } => Ok(Some(ListResponse {
            body: joined(bytes, &slices),
            length: end,
            keep_alive,
        })),
        Body::Partial if bytes.len() < MAX_RESPONSE_BYTES => Ok(None),
        _ => Err(PollFailure::Malformed),
    }
}

/// Returns the received part of the body of a response that contains a list.
pub fn partial_body(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = Response::new(&mut fields);
    let Ok(Status::Complete(head_length)) = response.parse(bytes) else {
        return None;
    };
    if response.code != Some(200) {
        return None;
    }
    let framing = http_message::framing(response.headers).ok()?;
    let ranges = http_message::partial_body(bytes, head_length, framing);
    Some(joined(bytes, &ranges))
}

fn joined(bytes: &[u8], ranges: &[Range<usize>]) -> Vec<u8> {
    let parts = ranges.iter().flat_map(|range| &bytes[range.clone()]);
    parts.copied().collect()
}

/// Returns the value of the `Retry-After` field, in microseconds.
fn retry_after(response: &Response) -> Option<Micros> {
    let field = http_message::field_value(response.headers, "retry-after")?;
    let seconds: f64 = field.parse().ok()?;
    (seconds >= 0.0 && seconds.is_finite()).then_some((seconds * 1e6) as Micros)
}
