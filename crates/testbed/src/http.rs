//! Reading and writing of HTTP/1.1 messages on raw sockets: stand-ins must be able to truncate and
//! corrupt what they send, and the load must know when the last byte was sent and received.

use std::io;
use std::ops::Range;
use std::time::Duration;

use httparse::{Header, Request, Response, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEADERS: usize = 64;
/// The longest message that is accepted.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
const READ_BYTES: usize = 16 * 1024;
/// Pause between two pieces of a message.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// A parsed request. Offsets count from the start of the buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedRequest {
    pub method: String,
    pub path: String,
    /// The request's identity, from `X-Txn`.
    pub id: Option<String>,
    /// How long the sender waits, from `X-Remaining-Ms`.
    pub remaining_ms: Option<u64>,
    /// Offset of the body.
    pub body_start: usize,
    /// Offset of the first byte after the request.
    pub end: usize,
}

/// A parsed response. Offsets count from the start of the buffer.
#[derive(Debug, PartialEq)]
pub struct ParsedResponse {
    pub status: u16,
    pub retry_after_seconds: Option<f64>,
    /// Whether the server states that it did not process the request.
    pub is_rejection: bool,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
    pub body: Range<usize>,
    /// Offset of the first byte after the response.
    pub end: usize,
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// The end of a body without a stated length.
#[derive(Clone, Copy)]
enum UnstatedLength {
    /// There is no body.
    NoBody,
    /// The body ends with the connection.
    UntilClosed { is_closed: bool },
}

/// The offset at which a body ends; none while part of it is missing.
fn body_end(
    buffer: &[u8],
    start: usize,
    headers: &[Header],
    unstated: UnstatedLength,
) -> io::Result<Option<usize>> {
    if let Some(length) = header(headers, "content-length") {
        return content_end(buffer, start, length);
    }
    let coding = header(headers, "transfer-encoding");
    if coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return chunks_end(buffer, start);
    }
    Ok(match unstated {
        UnstatedLength::NoBody => Some(start),
        UnstatedLength::UntilClosed { is_closed } => is_closed.then_some(buffer.len()),
    })
}

fn content_end(buffer: &[u8], start: usize, length: &str) -> io::Result<Option<usize>> {
    let length: usize = length
        .parse()
        .map_err(|_| invalid("a length that is no number"))?;
    let end = start
        .checked_add(length)
        .filter(|end| *end <= MAX_MESSAGE_BYTES)
        .ok_or_else(|| invalid("too long"))?;
    Ok((buffer.len() >= end).then_some(end))
}

fn chunks_end(buffer: &[u8], start: usize) -> io::Result<Option<usize>> {
    const LINE_END_BYTES: usize = 2;
    let mut offset = start;
    loop {
        let rest = &buffer[offset.min(buffer.len())..];
        let (line, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete(chunk)) => chunk,
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(invalid("chunks that cannot be read")),
        };
        let size = usize::try_from(size)
            .ok()
            .filter(|size| *size <= MAX_MESSAGE_BYTES)
            .ok_or_else(|| invalid("too long"))?;
        offset += line + size + LINE_END_BYTES;
        if size == 0 {
            return Ok((buffer.len() >= offset).then_some(offset));
        }
    }
}

/// Parses the first request of the buffer; none while part of it is missing.
pub fn parse_request(buffer: &[u8]) -> io::Result<Option<ParsedRequest>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let status = request.parse(buffer).map_err(|_| invalid("no request"))?;
    let Status::Complete(body_start) = status else {
        return Ok(None);
    };
    let headers = &*request.headers;
    let Some(end) = body_end(buffer, body_start, headers, UnstatedLength::NoBody)? else {
        return Ok(None);
    };
    Ok(Some(ParsedRequest {
        method: request.method.unwrap_or("").to_owned(),
        path: request.path.unwrap_or("").to_owned(),
        id: header(headers, "x-txn").map(str::to_owned),
        remaining_ms: header(headers, "x-remaining-ms").and_then(|text| text.parse().ok()),
        body_start,
        end,
    }))
}

/// Parses the first response of the buffer; none while part of it is missing. `is_closed`: the
/// connection has ended.
pub fn parse_response(buffer: &[u8], is_closed: bool) -> io::Result<Option<ParsedResponse>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let status = response.parse(buffer).map_err(|_| invalid("no answer"))?;
    let Status::Complete(body_start) = status else {
        return Ok(None);
    };
    let headers = &*response.headers;
    let unstated = UnstatedLength::UntilClosed { is_closed };
    let Some(end) = body_end(buffer, body_start, headers, unstated)? else {
        return Ok(None);
    };
    let has_length = header(headers, "content-length").is_some()
        || header(headers, "transfer-encoding").is_some();
    let closes =
        header(headers, "connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
    Ok(Some(ParsedResponse {
        status: response.code.unwrap_or(0),
        retry_after_seconds: header(headers, "retry-after").and_then(|text| text.parse().ok()),
        is_rejection: header(headers, "x-turned-away") == Some("1"),
        keep_alive: has_length && !closes && response.version == Some(1),
        body: body_start..end,
        end,
    }))
}

/// Reads more bytes into the buffer. Returns false at the end of the connection.
pub async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    if buffer.len() > MAX_MESSAGE_BYTES {
        return Err(invalid("too long"));
    }
    buffer.reserve(READ_BYTES);
    Ok(stream.read_buf(buffer).await? > 0)
}

/// Reads until the buffer starts with a complete request. Returns none where the connection ended
/// or failed, or where the bytes are no request.
pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ParsedRequest> {
    loop {
        if !buffer.is_empty()
            && let Some(request) = parse_request(buffer).ok()?
        {
            return Some(request);
        }
        if !read_more(stream, buffer).await.ok()? {
            return None;
        }
    }
}

/// Reads until the buffer starts with a complete response.
pub async fn read_response(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<ParsedResponse> {
    loop {
        if !buffer.is_empty()
            && let Some(response) = parse_response(buffer, false)?
        {
            return Ok(response);
        }
        if !read_more(stream, buffer).await? {
            let response = if buffer.is_empty() {
                None
            } else {
                parse_response(buffer, true)?
            };
            return response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Opens a connection, sends a request and returns the status of its response.
pub async fn fetch_status(address: std::net::SocketAddr, request: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let response = read_response(&mut stream, &mut Vec::new()).await?;
    Ok(response.status)
}

/// The text of a response. Each line of `headers` includes its line end.
pub fn response_text(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Writes a response.
pub async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let text = response_text(status, headers, body);
    stream.write_all(text.as_bytes()).await
}

/// Writes bytes in at most that many pieces, with a pause between two.
pub async fn write_in_pieces(
    stream: &mut TcpStream,
    bytes: &[u8],
    pieces: usize,
) -> io::Result<()> {
    for piece in bytes.chunks(bytes.len().div_ceil(pieces).max(1)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(PIECE_PAUSE).await;
    }
    Ok(())
}

/// Whether an idle connection can be reused: nothing was received and it is open.
pub fn is_reusable(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|problem| problem.kind() == io::ErrorKind::WouldBlock)
}

/// Closes a connection by a reset.
pub fn reset(stream: TcpStream) {
    // Where the option can't be set the connection closes normally.
    let _ = stream.set_zero_linger();
    drop(stream);
}

#[cfg(test)]
mod tests;
