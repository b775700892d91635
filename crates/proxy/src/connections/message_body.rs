//! The body of a message that is being received: how much of it is there, and how much memory it
//! needs.

use std::ops::Range;

use crate::connections::chunk_decoder::{ChunkDecoder, Decoded};
use crate::connections::http_message::{
    Framing, MAX_BODY_BYTES, MAX_CHUNK_LINE_BYTES, MAX_HEAD_BYTES,
};
use crate::state::buffers::ReadBuffer;

/// How the end of a body is found.
#[derive(Debug)]
enum BodyEnd {
    /// The body has this many bytes.
    Length(usize),
    /// The body is chunked.
    Chunked(ChunkDecoder),
    /// The body ends when its connection is closed.
    UntilClose,
}

/// The extent of a body in the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyState {
    /// Part of the body is missing.
    Partial,
    /// The whole body was received.
    Complete {
        /// The body.
        range: Range<usize>,
        /// Index of the first byte after the message.
        end: usize,
    },
    /// The body is longer than allowed.
    TooLong,
    /// The framing of the body is malformed.
    Malformed,
}

/// A body that is being received.
#[derive(Debug)]
pub struct MessageBody {
    head_length: usize,
    end: BodyEnd,
}

impl MessageBody {
    /// Creates the state of a body that follows a head of `head_length` bytes.
    pub fn new(head_length: usize, framing: Framing) -> Self {
        let end = match framing {
            Framing::Length(length) => BodyEnd::Length(length),
            Framing::Chunked => BodyEnd::Chunked(ChunkDecoder::new(head_length)),
            Framing::UntilClose => BodyEnd::UntilClose,
        };
        Self { head_length, end }
    }

    /// Length of the head in bytes.
    pub fn head_length(&self) -> usize {
        self.head_length
    }

    /// Looks at the bytes received since the last call. `is_closed` means that no more bytes will
    /// be received.
    pub fn advance(&mut self, buffer: &mut ReadBuffer, is_closed: bool) -> BodyState {
        let start = self.head_length;
        let received = buffer.bytes().len() - start;
        let complete = |length| BodyState::Complete {
            range: start..start + length,
            end: start + length,
        };
        match &mut self.end {
            BodyEnd::Length(length) if *length > MAX_BODY_BYTES => BodyState::TooLong,
            BodyEnd::Length(length) if received < *length => BodyState::Partial,
            BodyEnd::Length(length) => complete(*length),
            BodyEnd::UntilClose if received > MAX_BODY_BYTES => BodyState::TooLong,
            BodyEnd::UntilClose if is_closed => complete(received),
            BodyEnd::UntilClose => BodyState::Partial,
            BodyEnd::Chunked(decoder) => match decoder.decode(buffer.bytes_mut(), MAX_BODY_BYTES) {
                Decoded::Partial => BodyState::Partial,
                Decoded::Complete { body_end, end } => BodyState::Complete {
                    range: start..body_end,
                    end,
                },
                Decoded::TooLong => BodyState::TooLong,
                Decoded::Malformed => BodyState::Malformed,
            },
        }
    }

    /// Number of bytes that the read buffer has to hold for the whole message.
    pub fn buffer_bytes(&self) -> usize {
        self.head_length
            + match &self.end {
                BodyEnd::Length(length) => *length,
                // One byte more shows that the body is too long.
                BodyEnd::UntilClose => MAX_BODY_BYTES + 1,
                BodyEnd::Chunked(_) => MAX_BODY_BYTES + MAX_CHUNK_LINE_BYTES + MAX_HEAD_BYTES,
            }
    }
}
