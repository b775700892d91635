//! HTTP/1.1 messages as stand-ins and load speak them: raw sockets and httparse, since a stand-in must be able to cut
//! and spoil what it sends, and load must know when the last byte left and came.

use std::io;
use std::time::Duration;

use httparse::{Header, Request, Response, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const FIELDS_MOST: usize = 64;
/// Longest message taken from anywhere.
const MESSAGE_MOST: usize = 8 * 1024 * 1024;
const READ_STEP: usize = 16 * 1024;

/// What is read of a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Asked {
    pub method: String,
    pub path: String,
    pub id: Option<String>,
    /// What the sender will wait, in milliseconds.
    pub remaining_ms: Option<u64>,
    pub head: usize,
    pub end: usize,
}

/// What is read of an answer.
#[derive(Debug, PartialEq)]
pub struct Answered {
    pub status: u16,
    /// Seconds.
    pub retry_after: Option<f64>,
    pub turned_away: bool,
    /// Whether the connection can carry another request.
    pub lasts: bool,
    pub body: std::ops::Range<usize>,
    pub end: usize,
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn field<'a>(fields: &[Header<'a>], name: &str) -> Option<&'a str> {
    let found = fields
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// Where a body ends; nothing while part is missing. `ended`: no more will come.
fn body_end(
    kept: &[u8],
    head: usize,
    fields: &[Header],
    ended: bool,
    unsaid: Unsaid,
) -> io::Result<Option<usize>> {
    if let Some(length) = field(fields, "content-length") {
        let length: usize = length
            .parse()
            .map_err(|_| bad("a length that is no number"))?;
        let end = head
            .checked_add(length)
            .filter(|end| *end <= MESSAGE_MOST)
            .ok_or_else(|| bad("too long"))?;
        return Ok((kept.len() >= end).then_some(end));
    }
    if field(fields, "transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    {
        let mut at = head;
        loop {
            match httparse::parse_chunk_size(&kept[at.min(kept.len())..]) {
                Ok(Status::Complete((line, size))) => {
                    let size = usize::try_from(size)
                        .ok()
                        .filter(|size| *size <= MESSAGE_MOST);
                    let size = size.ok_or_else(|| bad("too long"))?;
                    at += line + size + 2;
                    if size == 0 {
                        return Ok((kept.len() >= at).then_some(at));
                    }
                }
                Ok(Status::Partial) => return Ok(None),
                Err(_) => return Err(bad("chunks that cannot be read")),
            }
        }
    }
    Ok(match unsaid {
        Unsaid::Nothing => Some(head),
        Unsaid::ToTheEnd => ended.then_some(kept.len()),
    })
}

/// What a body is whose length nobody states.
#[derive(Clone, Copy)]
enum Unsaid {
    Nothing,
    ToTheEnd,
}

/// The first whole request in what was read; nothing while part is missing.
pub fn asked(kept: &[u8]) -> io::Result<Option<Asked>> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut request = Request::new(&mut fields);
    let head = match request.parse(kept).map_err(|_| bad("no request"))? {
        Status::Complete(head) => head,
        Status::Partial => return Ok(None),
    };
    let fields = &*request.headers;
    let Some(end) = body_end(kept, head, fields, false, Unsaid::Nothing)? else {
        return Ok(None);
    };
    Ok(Some(Asked {
        method: request.method.unwrap_or("").to_owned(),
        path: request.path.unwrap_or("").to_owned(),
        id: field(fields, "x-txn").map(str::to_owned),
        remaining_ms: field(fields, "x-remaining-ms").and_then(|text| text.parse().ok()),
        head,
        end,
    }))
}

/// The whole answer in what was read; nothing while part is missing.
pub fn answered(kept: &[u8], ended: bool) -> io::Result<Option<Answered>> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
    let mut response = Response::new(&mut fields);
    let head = match response.parse(kept).map_err(|_| bad("no answer"))? {
        Status::Complete(head) => head,
        Status::Partial => return Ok(None),
    };
    let fields = &*response.headers;
    let Some(end) = body_end(kept, head, fields, ended, Unsaid::ToTheEnd)? else {
        return Ok(None);
    };
    let stated =
        field(fields, "content-length").is_some() || field(fields, "transfer-encoding").is_some();
    let closes = field(fields, "connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
    Ok(Some(Answered {
        status: response.code.unwrap_or(0),
        retry_after: field(fields, "retry-after").and_then(|text| text.parse().ok()),
        turned_away: field(fields, "x-turned-away").is_some_and(|text| text == "1"),
        lasts: stated && !closes && response.version == Some(1),
        body: head..end,
        end,
    }))
}

/// Reads some more; whether anything came before the end.
pub async fn more(stream: &mut TcpStream, kept: &mut Vec<u8>) -> io::Result<bool> {
    if kept.len() > MESSAGE_MOST {
        return Err(bad("too long"));
    }
    kept.reserve(READ_STEP);
    Ok(stream.read_buf(kept).await? > 0)
}

/// Reads until a request is whole, and says what it asks; `kept` then begins with it. Nothing where the connection
/// ended, broke, or brought what is no request.
pub async fn next_request(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Option<Asked> {
    loop {
        if !kept.is_empty()
            && let Some(found) = asked(kept).ok()?
        {
            return Some(found);
        }
        if !more(stream, kept).await.ok()? {
            return None;
        }
    }
}

/// Reads until the answer is whole.
pub async fn read_answer(stream: &mut TcpStream, kept: &mut Vec<u8>) -> io::Result<Answered> {
    loop {
        if !kept.is_empty()
            && let Some(found) = answered(kept, false)?
        {
            return Ok(found);
        }
        if !more(stream, kept).await? {
            let found = if kept.is_empty() {
                None
            } else {
                answered(kept, true)?
            };
            return found.ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// A plain answer with a body.
pub fn answer_text(status: &str, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub async fn answer(
    stream: &mut TcpStream,
    status: &str,
    fields: &str,
    body: &str,
) -> io::Result<()> {
    stream
        .write_all(answer_text(status, fields, body).as_bytes())
        .await
}

/// Writes in so many pieces, with a millisecond between two.
pub async fn in_pieces(stream: &mut TcpStream, bytes: &[u8], pieces: usize) -> io::Result<()> {
    for piece in bytes.chunks(bytes.len().div_ceil(pieces).max(1)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}

/// Whether an idle connection can still be used: nothing came and it has not ended.
pub fn is_usable(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0; 1]), Err(problem) if problem.kind() == io::ErrorKind::WouldBlock)
}

/// Ends a connection by a reset.
pub fn reset(stream: TcpStream) {
    // Where that fails the connection ends plainly, which is as good a fault.
    let _ = stream.set_zero_linger();
    drop(stream);
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", Some((200, 38..40, true)))]
    #[case(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", None)]
    #[case(b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", Some((503, 47..58, true)))]
    #[case(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Some((200, 57..57, false)))]
    #[case(b"HTTP/1.1 200 OK\r\n\r\nab", None)]
    fn answers_are_read_whole(
        #[case] text: &[u8],
        #[case] wanted: Option<(u16, std::ops::Range<usize>, bool)>,
    ) {
        let found = answered(text, false)
            .unwrap()
            .map(|found| (found.status, found.body, found.lasts));
        assert_eq!(found, wanted);
    }

    #[rstest]
    #[case(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")]
    #[case(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n")]
    #[case(b"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n")]
    #[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n")]
    #[case(b"noise\r\n\r\n")]
    fn nonsense_is_an_error(#[case] text: &[u8]) {
        assert!(answered(text, false).is_err());
    }

    #[test]
    fn requests_tell_their_ticket() {
        let text = b"GET /look/1 HTTP/1.1\r\nX-Txn: ab\r\nX-Remaining-Ms: 90\r\n\r\n";
        let found = asked(text).unwrap().unwrap();
        assert_eq!(
            (found.id.as_deref(), found.remaining_ms, found.end),
            (Some("ab"), Some(90), text.len())
        );
        assert_eq!(asked(&text[..30]).unwrap(), None);
    }
}
