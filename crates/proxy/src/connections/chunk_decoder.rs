//! Decoding of a chunked body in place, as it arrives: the framing of chunks is removed, so that the
//! body is contiguous and takes no more memory than its bytes. Each byte is looked at once.

use httparse::{InvalidChunkSize, Status};

use crate::connections::head_scan::HeadScan;
use crate::connections::http_message::{CRLF, MAX_CHUNK_LINE_BYTES, MAX_FIELDS, MAX_HEAD_BYTES};

#[cfg(test)]
mod tests;

/// The position of the decoder in the sequence of chunks.
#[derive(Clone, Copy, Debug)]
enum Position {
    /// Before the line with the size of a chunk.
    Size,
    /// In a chunk of which this many bytes are missing.
    Data(usize),
    /// Before the line end after a chunk.
    DataEnd,
    /// After the last chunk, in the trailer fields.
    Trailers,
}

/// The result of decoding the bytes that were received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Part of the body is missing.
    Partial,
    /// The body is complete.
    Complete {
        /// Index of the first byte after the body.
        body_end: usize,
        /// Index of the first byte after the message.
        end: usize,
    },
    /// The body is longer than allowed.
    TooLong,
    /// The chunks or trailers are malformed.
    Malformed,
}

/// The state of decoding one chunked body.
#[derive(Debug)]
pub struct ChunkDecoder {
    position: Position,
    /// Index of the first byte of the body.
    start: usize,
    /// Index of the first byte after the decoded bytes, which is also that of the first byte that
    /// is not decoded yet.
    decoded_end: usize,
    trailers: HeadScan,
}

impl ChunkDecoder {
    /// Creates a decoder for a body that begins at `start`.
    pub fn new(start: usize) -> Self {
        Self {
            position: Position::Size,
            start,
            decoded_end: start,
            trailers: HeadScan::default(),
        }
    }

    /// Decodes what was received since the last call. The bytes after the decoded ones are moved
    /// forward over the framing.
    pub fn decode(&mut self, bytes: &mut Vec<u8>, max_body: usize) -> Decoded {
        let mut at = self.decoded_end;
        let decoded = loop {
            if let Some(decoded) = self.step(bytes, &mut at, max_body) {
                break decoded;
            }
        };
        let unread = bytes.len() - at;
        bytes.copy_within(at.., self.decoded_end);
        bytes.truncate(self.decoded_end + unread);
        decoded
    }

    /// Decodes one part of the framing or of a chunk at `at`. Returns a result when more bytes are
    /// needed or the body has ended.
    fn step(&mut self, bytes: &mut [u8], at: &mut usize, max_body: usize) -> Option<Decoded> {
        let rest = &bytes[*at..];
        match self.position {
            Position::Size => match parse_size_line(rest) {
                Ok(Status::Complete((line, 0))) => {
                    *at += line;
                    self.position = Position::Trailers;
                    None
                }
                Ok(Status::Complete((line, size))) => {
                    let size = usize::try_from(size).unwrap_or(usize::MAX);
                    if size > max_body - (self.decoded_end - self.start) {
                        return Some(Decoded::TooLong);
                    }
                    *at += line;
                    self.position = Position::Data(size);
                    None
                }
                Ok(Status::Partial) if rest.len() < MAX_CHUNK_LINE_BYTES => Some(Decoded::Partial),
                Ok(Status::Partial) | Err(_) => Some(Decoded::Malformed),
            },
            Position::Data(missing) => self.move_data(bytes, at, missing),
            Position::DataEnd => {
                let line_end = rest.get(..CRLF.len());
                if line_end.is_none() && CRLF.starts_with(rest) {
                    return Some(Decoded::Partial);
                }
                if line_end != Some(CRLF) {
                    return Some(Decoded::Malformed);
                }
                *at += CRLF.len();
                self.position = Position::Size;
                None
            }
            Position::Trailers => Some(self.skip_trailers(rest)),
        }
    }

    /// Moves what was received of a chunk to the end of the decoded bytes.
    fn move_data(&mut self, bytes: &mut [u8], at: &mut usize, missing: usize) -> Option<Decoded> {
        let part = missing.min(bytes.len() - *at);
        bytes.copy_within(*at..*at + part, self.decoded_end);
        self.decoded_end += part;
        *at += part;
        if part < missing {
            self.position = Position::Data(missing - part);
            return Some(Decoded::Partial);
        }
        self.position = Position::DataEnd;
        None
    }

    /// Looks for the end of the trailer fields.
    fn skip_trailers(&mut self, rest: &[u8]) -> Decoded {
        // Without trailers, the empty line follows the last chunk at once.
        let is_due = self.trailers.is_due(rest) || rest.starts_with(CRLF);
        if !is_due && rest.len() < MAX_HEAD_BYTES {
            return Decoded::Partial;
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        match httparse::parse_headers(rest, &mut fields) {
            Ok(Status::Complete((length, _))) => Decoded::Complete {
                body_end: self.decoded_end,
                end: self.decoded_end + length,
            },
            Ok(Status::Partial) if rest.len() < MAX_HEAD_BYTES => Decoded::Partial,
            Ok(Status::Partial) | Err(_) => Decoded::Malformed,
        }
    }
}

/// Parses the line with the size of a chunk. The usual form, a few digits and no extension, costs
/// little even if chunks are very short.
fn parse_size_line(rest: &[u8]) -> Result<Status<(usize, u64)>, InvalidChunkSize> {
    const MAX_DIGITS: usize = 4;
    let mut size = 0;
    for (digits, byte) in rest.iter().take(MAX_DIGITS + 1).enumerate() {
        match char::from(*byte).to_digit(16) {
            Some(digit) => size = size * 16 + u64::from(digit),
            None if digits > 0 && rest[digits..].starts_with(CRLF) => {
                return Ok(Status::Complete((digits + CRLF.len(), size)));
            }
            None => break,
        }
    }
    httparse::parse_chunk_size(rest)
}
