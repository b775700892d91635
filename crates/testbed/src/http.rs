//! Reading and writing of HTTP/1.1 messages on raw sockets. Stand-ins must be able to truncate and
//! corrupt the messages that they send, and the load needs the times at which the last byte of a
//! message was sent and received.

use std::io;
use std::ops::Range;
use std::time::Duration;

use httparse::{Header, Request, Response, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;
/// Maximum size of a message that is accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Free space in the buffer for each read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Pause after each piece of a message that is written in pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// A parsed request. Offsets are in bytes from the start of the buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedRequest {
    pub method: String,
    pub path: String,
    /// The request's identity, from `X-Txn`.
    pub id: Option<String>,
    /// Time for which the sender waits, in milliseconds, from `X-Remaining-Ms`.
    pub remaining_ms: Option<u64>,
    /// Offset of the body.
    pub body_start: usize,
    /// Offset of the first byte after the request.
    pub end: usize,
}

/// A parsed response. Offsets are in bytes from the start of the buffer.
#[derive(Debug, PartialEq)]
pub struct ParsedResponse {
    pub status: u16,
    pub retry_after_seconds: Option<f64>,
    /// Whether the server states that it did not process the request.
    pub is_rejection: bool,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
    /// Offsets of the body.
    pub body: Range<usize>,
    /// Offset of the first byte after the response.
    pub end: usize,
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

/// The value of the first header with that name, without surrounding spaces; none where it is no
/// valid UTF-8.
fn header_value<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// Where a body ends in a message that states no length.
#[derive(Clone, Copy)]
enum UnstatedLength {
    /// The message has no body.
    NoBody,
    /// The body ends when the sender closes the connection.
    UntilClosed { is_closed: bool },
}

/// The offset at which a body ends; none while part of the body is missing.
fn body_end(
    buffer: &[u8],
    start: usize,
    headers: &[Header],
    unstated: UnstatedLength,
) -> io::Result<Option<usize>> {
    if let Some(length) = header_value(headers, "content-length") {
        return sized_body_end(buffer, start, length);
    }
    let coding = header_value(headers, "transfer-encoding");
    if coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return chunked_body_end(buffer, start);
    }
    Ok(match unstated {
        UnstatedLength::NoBody => Some(start),
        UnstatedLength::UntilClosed { is_closed } => is_closed.then_some(buffer.len()),
    })
}

fn sized_body_end(buffer: &[u8], start: usize, length: &str) -> io::Result<Option<usize>> {
    let length: usize = length
        .parse()
        .map_err(|_| invalid_data("Content-Length is not a number of bytes"))?;
    let end = start
        .checked_add(length)
        .filter(|end| *end <= MAX_MESSAGE_BYTES)
        .ok_or_else(|| invalid_data("Content-Length makes the message longer than 8 MiB"))?;
    Ok((buffer.len() >= end).then_some(end))
}

fn chunked_body_end(buffer: &[u8], start: usize) -> io::Result<Option<usize>> {
    const LINE_END_BYTES: usize = 2;
    let mut offset = start;
    loop {
        let rest = &buffer[offset.min(buffer.len())..];
        let (line, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete(chunk)) => chunk,
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(invalid_data("malformed chunk size in a chunked body")),
        };
        let size = usize::try_from(size)
            .ok()
            .filter(|size| *size <= MAX_MESSAGE_BYTES)
            .ok_or_else(|| invalid_data("chunk is longer than 8 MiB"))?;
        offset += line + size + LINE_END_BYTES;
        if size == 0 {
            return Ok((buffer.len() >= offset).then_some(offset));
        }
    }
}

/// Parses the first request in the buffer; none while part of the request is missing.
pub fn parse_request(buffer: &[u8]) -> io::Result<Option<ParsedRequest>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let status = request
        .parse(buffer)
        .map_err(|_| invalid_data("malformed request"))?;
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
        id: header_value(headers, "x-txn").map(str::to_owned),
        remaining_ms: header_value(headers, "x-remaining-ms").and_then(|text| text.parse().ok()),
        body_start,
        end,
    }))
}

/// Parses the first response in the buffer; none while part of the response is missing. `is_closed`
/// states that the sender has closed the connection.
pub fn parse_response(buffer: &[u8], is_closed: bool) -> io::Result<Option<ParsedResponse>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = Response::new(&mut headers);
    let status = response
        .parse(buffer)
        .map_err(|_| invalid_data("malformed response"))?;
    let Status::Complete(body_start) = status else {
        return Ok(None);
    };
    let headers = &*response.headers;
    let unstated = UnstatedLength::UntilClosed { is_closed };
    let Some(end) = body_end(buffer, body_start, headers, unstated)? else {
        return Ok(None);
    };
    let has_length = header_value(headers, "content-length").is_some()
        || header_value(headers, "transfer-encoding").is_some();
    let closes = header_value(headers, "connection")
        .is_some_and(|option| option.eq_ignore_ascii_case("close"));
    Ok(Some(ParsedResponse {
        status: response.code.unwrap_or(0),
        retry_after_seconds: header_value(headers, "retry-after")
            .and_then(|text| text.parse().ok()),
        is_rejection: header_value(headers, "x-turned-away") == Some("1"),
        keep_alive: has_length && !closes && response.version == Some(1),
        body: body_start..end,
        end,
    }))
}

/// Reads more bytes into the buffer. Returns false if the peer has closed the connection.
pub async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    if buffer.len() > MAX_MESSAGE_BYTES {
        return Err(invalid_data("message is longer than 8 MiB"));
    }
    buffer.reserve(READ_BYTES);
    Ok(stream.read_buf(buffer).await? > 0)
}

/// Reads until the buffer starts with a complete request. Returns none if the connection was closed
/// or failed, or if the request is malformed.
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

/// Formats a response. Each line of `headers` includes its line end.
pub fn response_text(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Writes a response with the parameters of [`response_text`].
pub async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let text = response_text(status, headers, body);
    stream.write_all(text.as_bytes()).await
}

/// Writes bytes in at most `pieces` pieces, with a pause after each.
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

/// Whether an idle connection can be reused: it is open and no bytes were received on it.
pub fn is_reusable(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Closes a connection with a TCP reset.
pub fn reset_connection(stream: TcpStream) {
    // Where the socket option can't be set, the connection is closed without a reset.
    let _ = stream.set_zero_linger();
    drop(stream);
}

#[cfg(test)]
mod tests;
