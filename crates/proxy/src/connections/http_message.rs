//! Heads and bodies of HTTP/1.1 messages, on httparse. Everything here looks at bytes and keeps nothing.

use std::ops::Range;

use bytes::Bytes;
use httparse::{Header, Response};

#[cfg(test)]
mod tests;

/// Longest head and most fields taken from either side: what proxies commonly bear.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
pub const MAX_FIELDS: usize = 64;
/// Longest body that the protocol allows.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// What the framing of a chunked body may take beside it.
const MAX_CHUNK_FRAMING_BYTES: usize = 16 * 1024;
/// What a whole message may take in a read buffer.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_CHUNK_FRAMING_BYTES;
/// Longest line that tells the size of a chunk, extensions included.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// How a message's end is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// Nothing says it; a request then has no body and an answer goes on to the connection's end.
    UntilClose,
}

/// Framings that contradict each other or themselves: what follows could be read in two ways.
#[derive(Debug, PartialEq, Eq)]
pub struct Conflicting;

/// A body as far as it has come: the slices that hold it and where the message ends.
#[derive(Debug, PartialEq, Eq)]
pub enum Body {
    /// All of it was received.
    Complete {
        /// Where the body lies.
        slices: Vec<Range<usize>>,
        /// Where the message ends.
        end: usize,
    },
    /// Part of it is missing.
    Partial,
    /// It is longer than allowed.
    TooLong,
    /// Its chunks are malformed.
    Malformed,
}

impl Body {
    /// A complete body that lies in one piece.
    fn contiguous(from: usize, end: usize) -> Self {
        Self::Complete {
            slices: std::iter::once(from..end).collect(),
            end,
        }
    }
}

/// A field's value without blanks around it, where it is text.
pub fn field<'a>(fields: &[Header<'a>], name: &str) -> Option<&'a str> {
    let named = fields
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(named.value).ok().map(str::trim)
}

/// A field that may harness only once: of two, nobody can tell which is meant.
pub fn only_field<'a>(fields: &[Header<'a>], name: &str) -> Option<&'a str> {
    let count = fields
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(name))
        .count();
    field(fields, name).filter(|_| count == 1)
}

/// The values of all fields of that name, where they are text.
pub fn texts<'a>(fields: &[Header<'a>], name: &str) -> impl Iterator<Item = &'a str> {
    let named = fields
        .iter()
        .filter(move |field| field.name.eq_ignore_ascii_case(name));
    named.filter_map(|field| std::str::from_utf8(field.value).ok())
}

/// Whether a field that lists words holds one.
pub fn contains_token(fields: &[Header], name: &str, word: &str) -> bool {
    texts(fields, name)
        .flat_map(|text| text.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(word))
}

pub fn framing(fields: &[Header]) -> Result<Framing, Conflicting> {
    let mut found = Framing::UntilClose;
    for field in fields {
        let text = std::str::from_utf8(field.value).map(str::trim);
        let next = if field.name.eq_ignore_ascii_case("content-length") {
            let digits = text
                .ok()
                .filter(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()));
            // A length beyond any number is too long, not unreadable.
            digits.map(|digits| Framing::Length(digits.parse().unwrap_or(usize::MAX)))
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            text.ok()
                .filter(|text| text.eq_ignore_ascii_case("chunked"))
                .map(|_| Framing::Chunked)
        } else {
            continue;
        };
        match next {
            Some(next)
                if found == Framing::UntilClose || (found == next && next != Framing::Chunked) =>
            {
                found = next;
            }
            _ => return Err(Conflicting),
        }
    }
    Ok(found)
}

/// Whether every line of a head ends as it must: others may take a bare line feed for part of a line.
pub fn has_only_crlf(head: &[u8]) -> bool {
    head.iter()
        .enumerate()
        .all(|(index, byte)| *byte != b'\n' || (index > 0 && head[index - 1] == b'\r'))
}

/// The body that starts at `from`; `ended` tells that nothing more will come.
pub fn body(bytes: &[u8], from: usize, framing: Framing, ended: bool, most: usize) -> Body {
    match framing {
        Framing::Length(length) if length > most => Body::TooLong,
        Framing::Length(length) if bytes.len() < from + length => Body::Partial,
        Framing::Length(length) => Body::contiguous(from, from + length),
        Framing::UntilClose if bytes.len() - from > most => Body::TooLong,
        Framing::UntilClose if ended => Body::contiguous(from, bytes.len()),
        Framing::UntilClose => Body::Partial,
        Framing::Chunked => chunks(bytes, from, most),
    }
}

/// The slices of a body that are here, though it may not be whole.
pub fn body_so_far(bytes: &[u8], from: usize, framing: Framing) -> Vec<Range<usize>> {
    match framing {
        Framing::Length(length) => {
            std::iter::once(from..bytes.len().min(from.saturating_add(length))).collect()
        }
        Framing::UntilClose => std::iter::once(from..bytes.len()).collect(),
        Framing::Chunked => chunks_so_far(bytes, from),
    }
}

fn chunks_so_far(bytes: &[u8], mut at: usize) -> Vec<Range<usize>> {
    let mut slices = Vec::new();
    while let Some(rest) = bytes.get(at..)
        && let Ok(httparse::Status::Complete((line, size))) = httparse::parse_chunk_size(rest)
        && let Some(size) = usize::try_from(size).ok().filter(|size| *size > 0)
    {
        let from = at + line;
        let to = from.saturating_add(size);
        slices.push(from..to.min(bytes.len()));
        at = to.saturating_add(2);
    }
    slices
}

fn chunks(bytes: &[u8], mut at: usize, most: usize) -> Body {
    let (mut slices, mut length) = (Vec::new(), 0);
    loop {
        let rest = &bytes[at..];
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((line, 0))) => return trailers(bytes, at + line, slices),
            Ok(httparse::Status::Complete((line, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                length = size.saturating_add(length);
                if length > most {
                    return Body::TooLong;
                }
                let (from, to) = (at + line, at + line + size);
                match bytes.get(to..to + 2) {
                    Some(b"\r\n") => slices.push(from..to),
                    Some(_) => return Body::Malformed,
                    None => return Body::Partial,
                }
                at = to + 2;
            }
            Ok(httparse::Status::Partial) if rest.len() < MAX_CHUNK_LINE_BYTES => {
                return Body::Partial;
            }
            Ok(httparse::Status::Partial) | Err(_) => return Body::Malformed,
        }
    }
}

/// Fields after the last chunk are read over.
fn trailers(bytes: &[u8], at: usize, slices: Vec<Range<usize>>) -> Body {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    match httparse::parse_headers(&bytes[at..], &mut fields) {
        Ok(httparse::Status::Complete((length, _))) => Body::Complete {
            slices,
            end: at + length,
        },
        Ok(httparse::Status::Partial) if bytes.len() - at < MAX_HEAD_BYTES => Body::Partial,
        Ok(httparse::Status::Partial) | Err(_) => Body::Malformed,
    }
}

/// Whether an answer leaves its connection fit for another.
pub fn is_keep_alive(answer: &Response, framing: Framing) -> bool {
    answer.version == Some(1)
        && framing != Framing::UntilClose
        && !contains_token(answer.headers, "connection", "close")
}

/// Fields that speak of one connection only, or that the sender words anew.
pub fn is_end_to_end(name: &str) -> bool {
    const STAY: [&str; 9] = [
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
    !STAY.iter().any(|stays| name.eq_ignore_ascii_case(stays))
}

/// Where a part of a message lies in it: a slice of the buffer in config of a copy.
pub fn byte_range(message: &[u8], part: &[u8]) -> Range<usize> {
    let from = (part.as_ptr() as usize).saturating_sub(message.as_ptr() as usize);
    from.min(message.len())..(from + part.len()).min(message.len())
}

/// The fields that go on, as slices of the message's buffer.
pub fn lines(message: &Bytes, fields: &[Header], goes: impl Fn(&str) -> bool) -> Vec<Bytes> {
    let mut slices = Vec::with_capacity(4 * fields.len());
    for field in fields.iter().filter(|field| goes(field.name)) {
        slices.push(message.slice(byte_range(message, field.name.as_bytes())));
        slices.push(Bytes::from_static(b": "));
        slices.push(message.slice(byte_range(message, field.value)));
        slices.push(Bytes::from_static(b"\r\n"));
    }
    slices
}

/// Parts of a message's buffer.
pub fn slices(message: &Bytes, ranges: &[Range<usize>]) -> Vec<Bytes> {
    let slice = |range: &Range<usize>| message.slice(range.clone());
    ranges.iter().map(slice).collect()
}
