//! Parsing of endpoint responses: the end of a response and whether its connection can be reused.

use std::ops::Range;

use httparse::{Response, Status};

use crate::connections::http_message::{
    self, Body, Framing, MAX_BODY_BYTES, MAX_FIELDS, MAX_HEAD_BYTES, MAX_MESSAGE_BYTES,
};
use crate::state::buffers::ReadBuffer;

/// Maximum number of interim responses skipped in one pass: an endpoint that sends only interim
/// responses never sends a final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// The extent of a complete response in a buffer.
pub struct ResponseFrame {
    /// Length of the head in bytes.
    pub head_length: usize,
    /// Byte ranges of the body.
    pub body: Vec<Range<usize>>,
    /// Index of the first byte after the message.
    pub end: usize,
    /// Whether the connection can carry another exchange.
    pub is_reusable: bool,
}

/// Result of parsing the front of a read buffer.
pub enum ParsedResponse {
    /// Part of the response is missing.
    Incomplete,
    /// A complete response.
    Complete(ResponseFrame),
    /// The bytes are not a valid response, or the response is too large.
    Malformed,
}

/// Finds the response at the front of a read buffer and removes interim responses before it.
/// `is_closed` means that the endpoint closed the connection in order, which ends a response
/// without a stated length; a reset does not.
pub fn parse_response(read_buffer: &mut ReadBuffer, is_closed: bool) -> ParsedResponse {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        match parse_head(read_buffer.bytes(), is_closed) {
            ParsedHead::Interim(length) => _ = read_buffer.take(length),
            ParsedHead::Final(response) => return response,
        }
    }
    ParsedResponse::Malformed
}

/// The response to which the head at the front of a buffer belongs.
enum ParsedHead {
    /// An interim response, with the length of its head in bytes.
    Interim(usize),
    /// The final response, as far as it was received.
    Final(ParsedResponse),
}

fn parse_head(bytes: &[u8], is_closed: bool) -> ParsedHead {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = Response::new(&mut fields);
    let head_length = match head.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => {
            return ParsedHead::Final(ParsedResponse::Incomplete);
        }
        Ok(_) | Err(_) => return ParsedHead::Final(ParsedResponse::Malformed),
    };
    let framing = match head.code {
        // A protocol switch was not requested.
        None | Some(101) => None,
        Some(100..=199) => return ParsedHead::Interim(head_length),
        Some(204 | 304) => Some(Framing::Length(0)),
        Some(_) => http_message::framing(head.headers).ok(),
    };
    let Some(framing) = framing else {
        return ParsedHead::Final(ParsedResponse::Malformed);
    };
    let is_reusable = http_message::is_keep_alive(&head, framing);
    let body = http_message::find_body(bytes, head_length, framing, is_closed, MAX_BODY_BYTES);
    ParsedHead::Final(match body {
        Body::Complete { slices, end } => ParsedResponse::Complete(ResponseFrame {
            head_length,
            body: slices,
            end,
            is_reusable,
        }),
        Body::Partial if bytes.len() < MAX_MESSAGE_BYTES => ParsedResponse::Incomplete,
        Body::Partial | Body::TooLong | Body::Malformed => ParsedResponse::Malformed,
    })
}
