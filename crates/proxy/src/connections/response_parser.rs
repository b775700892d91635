//! Parsing of endpoint responses: the end of a response and whether its connection can be reused.

use std::ops::Range;

use httparse::{Response, Status};

use crate::connections::head_scan::HeadScan;
use crate::connections::http_message::{self, Framing, MAX_FIELDS, MAX_HEAD_BYTES};
use crate::connections::memory_waits::MemoryNeed;
use crate::connections::message_body::{BodyState, MessageBody};
use crate::state::buffers::ReadBuffer;

/// Maximum number of interim responses skipped in one pass: an endpoint that sends only interim
/// responses never sends a final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// The extent of a complete response in a buffer.
pub struct ResponseFrame {
    /// Length of the head in bytes.
    pub head_length: usize,
    /// Byte range of the body.
    pub body: Range<usize>,
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

/// Finds the end of the response at the front of a read buffer, as its bytes arrive.
#[derive(Debug, Default)]
pub struct ResponseParser {
    scan: HeadScan,
    /// The head of the final response, once it is complete.
    head: Option<CompleteHead>,
}

/// What the parser keeps of a complete head.
#[derive(Debug)]
struct CompleteHead {
    body: MessageBody,
    is_reusable: bool,
}

/// The response to which the head at the front of a buffer belongs.
enum ParsedHead {
    /// Part of the head is missing.
    Incomplete,
    /// An interim response, with the length of its head in bytes.
    Interim(usize),
    /// The final response.
    Final(CompleteHead),
    /// The head is not valid.
    Malformed,
}

impl ResponseParser {
    /// Looks at the bytes received since the last call, and removes interim responses at the front.
    /// `is_closed` means that the endpoint closed the connection in order, which ends a response
    /// without a stated length; a reset does not.
    pub fn advance(&mut self, buffer: &mut ReadBuffer, is_closed: bool) -> ParsedResponse {
        if self.head.is_none() {
            match self.find_final_head(buffer) {
                ParsedHead::Final(head) => self.head = Some(head),
                ParsedHead::Incomplete => return ParsedResponse::Incomplete,
                ParsedHead::Interim(_) | ParsedHead::Malformed => return ParsedResponse::Malformed,
            }
        }
        let Some(head) = &mut self.head else {
            return ParsedResponse::Incomplete;
        };
        let (head_length, is_reusable) = (head.body.head_length(), head.is_reusable);
        match head.body.advance(buffer, is_closed) {
            BodyState::Complete { range, end } => {
                *self = Self::default();
                ParsedResponse::Complete(ResponseFrame {
                    head_length,
                    body: range,
                    end,
                    is_reusable,
                })
            }
            BodyState::Partial => ParsedResponse::Incomplete,
            BodyState::TooLong | BodyState::Malformed => ParsedResponse::Malformed,
        }
    }

    fn find_final_head(&mut self, buffer: &mut ReadBuffer) -> ParsedHead {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let bytes = buffer.bytes();
            if !self.scan.is_due(bytes) && bytes.len() < MAX_HEAD_BYTES {
                return ParsedHead::Incomplete;
            }
            match parse_head(bytes) {
                ParsedHead::Interim(length) => {
                    buffer.skip(length);
                    self.scan = HeadScan::default();
                }
                other => return other,
            }
        }
        ParsedHead::Malformed
    }

    /// Memory that the response needs until it is complete, as far as that is known.
    pub fn memory_need(&self) -> MemoryNeed {
        MemoryNeed::of_message(self.head.as_ref().map(|head| &head.body))
    }
}

fn parse_head(bytes: &[u8]) -> ParsedHead {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = Response::new(&mut fields);
    let head_length = match head.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return ParsedHead::Incomplete,
        Ok(_) | Err(_) => return ParsedHead::Malformed,
    };
    let framing = match head.code {
        // A protocol switch was not requested.
        None | Some(101) => None,
        Some(100..=199) => return ParsedHead::Interim(head_length),
        Some(204 | 304) => Some(Framing::Length(0)),
        Some(_) => http_message::framing(head.headers).ok(),
    };
    let Some(framing) = framing else {
        return ParsedHead::Malformed;
    };
    ParsedHead::Final(CompleteHead {
        is_reusable: http_message::is_keep_alive(&head, framing),
        body: MessageBody::new(head_length, framing),
    })
}
