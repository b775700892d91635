//! Parsing of HTTP/1.1 heads and bodies, based on httparse. All functions are pure.

use std::ops::Range;

use httparse::{Header, Response, Status};

#[cfg(test)]
mod tests;

/// Maximum length of a head, from clients and endpoints.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields, from clients and endpoints.
pub const MAX_FIELDS: usize = 64;
/// Maximum length of a body that the protocol allows.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a chunk-size line, including extensions.
pub const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Line end after a chunk.
pub const CRLF: &[u8] = b"\r\n";

/// Header fields that are not forwarded: they apply to one connection only, or each sender
/// generates its own.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Method by which the end of a message is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body is chunked.
    Chunked,
    /// No framing is stated: a request has no body, and a response ends when its connection is
    /// closed.
    UntilClose,
}

/// Error: the message states several framings or a malformed one, so recipients could interpret it
/// differently.
#[derive(Debug, PartialEq, Eq)]
pub struct ConflictingFraming;

/// The extent of a body in the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Body {
    /// The whole body was received.
    Complete {
        /// Byte ranges of the body.
        slices: Vec<Range<usize>>,
        /// Index of the first byte after the message.
        end: usize,
    },
    /// Part of the body is missing.
    Partial,
    /// The body is longer than allowed.
    TooLong,
    /// The chunks of the body are malformed.
    Malformed,
}

impl Body {
    /// Creates a complete body that consists of one byte range.
    fn contiguous(from: usize, end: usize) -> Self {
        Self::Complete {
            slices: std::iter::once(from..end).collect(),
            end,
        }
    }
}

fn fields_named<'f, 'a>(
    fields: &'f [Header<'a>],
    name: &'f str,
) -> impl Iterator<Item = &'f Header<'a>> {
    fields
        .iter()
        .filter(move |field| field.name.eq_ignore_ascii_case(name))
}

/// Returns the value of the first field with this name, without surrounding blanks; `None` if it is
/// missing or not valid UTF-8.
pub fn field_value<'a>(fields: &[Header<'a>], name: &str) -> Option<&'a str> {
    let value = fields_named(fields, name).next()?.value;
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Returns the value of a field that must not be repeated; `None` if it is missing, repeated or not
/// valid UTF-8.
pub fn unique_field_value<'a>(fields: &[Header<'a>], name: &str) -> Option<&'a str> {
    field_value(fields, name).filter(|_| fields_named(fields, name).count() == 1)
}

/// Returns the values of all fields with this name that are valid UTF-8.
pub fn field_values<'f>(fields: &'f [Header], name: &'f str) -> impl Iterator<Item = &'f str> {
    fields_named(fields, name).filter_map(|field| std::str::from_utf8(field.value).ok())
}

/// Whether a field with a comma-separated list contains a token, ignoring case.
pub fn contains_token(fields: &[Header], name: &str, token: &str) -> bool {
    field_values(fields, name)
        .flat_map(|text| text.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(token))
}

/// Returns the framing of a message.
///
/// # Errors
///
/// Fails when the fields contradict each other or are malformed.
pub fn framing(fields: &[Header]) -> Result<Framing, ConflictingFraming> {
    let mut found = Framing::UntilClose;
    for field in fields {
        let stated = if field.name.eq_ignore_ascii_case("content-length") {
            stated_content_length(field)
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            stated_transfer_coding(field)
        } else {
            continue;
        };
        let stated = stated.ok_or(ConflictingFraming)?;
        let is_repeated = found == stated && stated != Framing::Chunked;
        if found != Framing::UntilClose && !is_repeated {
            return Err(ConflictingFraming);
        }
        found = stated;
    }
    Ok(found)
}

fn stated_content_length(field: &Header) -> Option<Framing> {
    let digits = std::str::from_utf8(field.value).ok()?.trim();
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    // A length that exceeds the integer range is too long, not malformed.
    is_number.then(|| Framing::Length(digits.parse().unwrap_or(usize::MAX)))
}

fn stated_transfer_coding(field: &Header) -> Option<Framing> {
    let coding = std::str::from_utf8(field.value).ok()?.trim();
    coding
        .eq_ignore_ascii_case("chunked")
        .then_some(Framing::Chunked)
}

/// Whether every line of a head ends with CRLF: other parsers may take a bare line feed for part of
/// a line.
pub fn has_only_crlf(head: &[u8]) -> bool {
    head.iter()
        .enumerate()
        .all(|(index, byte)| *byte != b'\n' || (index > 0 && head[index - 1] == b'\r'))
}

/// Finds the body that starts at `from` and has at most `limit` bytes. `is_closed` means that no
/// more bytes will be received.
pub fn find_body(
    bytes: &[u8],
    from: usize,
    framing: Framing,
    is_closed: bool,
    limit: usize,
) -> Body {
    match framing {
        Framing::Length(length) if length > limit => Body::TooLong,
        Framing::Length(length) if bytes.len() < from + length => Body::Partial,
        Framing::Length(length) => Body::contiguous(from, from + length),
        Framing::UntilClose if bytes.len() - from > limit => Body::TooLong,
        Framing::UntilClose if is_closed => Body::contiguous(from, bytes.len()),
        Framing::UntilClose => Body::Partial,
        Framing::Chunked => chunked_body(bytes, from, limit),
    }
}

/// Returns the byte ranges of the part of a body that was received, which may be incomplete.
pub fn partial_body(bytes: &[u8], from: usize, framing: Framing) -> Vec<Range<usize>> {
    match framing {
        Framing::Length(length) => {
            let end = bytes.len().min(from.saturating_add(length));
            std::iter::once(from..end).collect()
        }
        Framing::UntilClose => std::iter::once(from..bytes.len()).collect(),
        Framing::Chunked => partial_chunked_body(bytes, from),
    }
}

fn partial_chunked_body(bytes: &[u8], mut at: usize) -> Vec<Range<usize>> {
    let mut slices = Vec::new();
    while let Some(rest) = bytes.get(at..)
        && let Ok(Status::Complete((line, size))) = httparse::parse_chunk_size(rest)
        && let Some(size) = usize::try_from(size).ok().filter(|size| *size > 0)
    {
        let from = at + line;
        let to = from.saturating_add(size);
        slices.push(from..to.min(bytes.len()));
        at = to.saturating_add(CRLF.len());
    }
    slices
}

fn chunked_body(bytes: &[u8], mut at: usize, limit: usize) -> Body {
    let mut slices = Vec::new();
    let mut length: usize = 0;
    loop {
        let rest = &bytes[at..];
        let (line, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete((line, 0))) => return skip_trailers(bytes, at + line, slices),
            Ok(Status::Complete((line, size))) => (line, usize::try_from(size)),
            Ok(Status::Partial) if rest.len() < MAX_CHUNK_LINE_BYTES => return Body::Partial,
            Ok(Status::Partial) | Err(_) => return Body::Malformed,
        };
        let size = size.unwrap_or(usize::MAX);
        length = length.saturating_add(size);
        if length > limit {
            return Body::TooLong;
        }
        let from = at + line;
        let to = from + size;
        match bytes.get(to..to + CRLF.len()) {
            Some(CRLF) => slices.push(from..to),
            Some(_) => return Body::Malformed,
            None => return Body::Partial,
        }
        at = to + CRLF.len();
    }
}

/// Skips the trailer fields after the last chunk.
fn skip_trailers(bytes: &[u8], at: usize, slices: Vec<Range<usize>>) -> Body {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    match httparse::parse_headers(&bytes[at..], &mut fields) {
        Ok(Status::Complete((length, _))) => Body::Complete {
            slices,
            end: at + length,
        },
        Ok(Status::Partial) if bytes.len() - at < MAX_HEAD_BYTES => Body::Partial,
        Ok(Status::Partial) | Err(_) => Body::Malformed,
    }
}

/// Whether the connection of a response can carry another exchange.
pub fn is_keep_alive(response: &Response, framing: Framing) -> bool {
    response.version == Some(1)
        && framing != Framing::UntilClose
        && !contains_token(response.headers, "connection", "close")
}

/// Whether a field applies to the whole path from the client to the endpoint, so that it is
/// forwarded.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_FIELDS
        .iter()
        .any(|hop_by_hop| name.eq_ignore_ascii_case(hop_by_hop))
}

/// Appends the lines of the selected fields.
pub fn append_field_lines(
    text: &mut Vec<u8>,
    fields: &[Header],
    is_selected: impl Fn(&str) -> bool,
) {
    for field in fields.iter().filter(|field| is_selected(field.name)) {
        text.extend_from_slice(field.name.as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(field.value);
        text.extend_from_slice(CRLF);
    }
}
