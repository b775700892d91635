//! `pinefront fleet`: prints a balancer's view of its fleet as a table, requested over HTTP.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// The timeout for the connection, for each write and for each read.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between two requests in watch mode.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// The largest response in bytes, twice that of a thousand members.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// The reason why a view cannot be printed.
#[derive(Debug, thiserror::Error)]
pub enum ViewError {
    /// The argument is not a socket address.
    #[error("invalid socket address '{0}': expected IP:PORT")]
    InvalidAddress(String),
    /// The request failed.
    #[error("cannot request /fleet from {address}: {source}")]
    Request {
        /// The balancer's address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The balancer has no page `/fleet`.
    #[error("{0} is not a member of a fleet: was it started with --operator?")]
    NoFleet(SocketAddr),
    /// The response is not JSON.
    #[error("invalid response from {address}: expected JSON: {source}")]
    InvalidResponse {
        /// The balancer's address.
        address: SocketAddr,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// Prints the view of the balancer whose client address is given, once or every second.
pub fn run(address: &str, watch: bool, json: bool) -> Result<(), ViewError> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| ViewError::InvalidAddress(address.to_owned()))?;
    loop {
        let body = request_page(address)?;
        if json {
            print!("{body}");
        } else {
            let page: Value = serde_json::from_str(&body)
                .map_err(|source| ViewError::InvalidResponse { address, source })?;
            println!("{}", format_page(&page));
        }
        if !watch {
            return Ok(());
        }
        std::thread::sleep(WATCH_INTERVAL);
        println!();
    }
}

fn request_page(address: SocketAddr) -> Result<String, ViewError> {
    let response = request(address).map_err(|source| ViewError::Request { address, source })?;
    match response.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200 ") => Ok(body.to_owned()),
        _ => Err(ViewError::NoFleet(address)),
    }
}

fn request(address: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n")?;
    let mut response = String::new();
    stream
        .take(MAX_RESPONSE_BYTES)
        .read_to_string(&mut response)?;
    Ok(response)
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn seconds(milliseconds: &Value) -> String {
    milliseconds
        .as_f64()
        .map_or("never".into(), |ms| format!("{:.1}", ms / 1e3))
}

fn format_page(page: &Value) -> String {
    let mut lines = vec![format_summary(page)];
    lines.extend(format_members(page));
    lines.extend(format_leases(page));
    lines.push(format_traffic(page));
    lines.join("\n")
}

fn format_summary(page: &Value) -> String {
    let warning = if page["heard"] == Value::Bool(false) {
        "; unreachable since its process was paused, so its view may be stale"
    } else {
        ""
    };
    format!(
        "fleet {}, view of {} ({}): {} alive, {} may be serving{warning}",
        text(&page["fleet"]),
        text(&page["member"]),
        text(&page["zone"]),
        text(&page["present"]),
        text(&page["may_be_serving"]),
    )
}

fn format_members(page: &Value) -> Vec<String> {
    let mut lines = vec![format!(
        "{:<20} {:<10} {:<22} {:<9} {:>9} {:>9}  {}",
        "member", "zone", "address", "state", "for s", "last s", "serving"
    )];
    for member in page["members"].as_array().into_iter().flatten() {
        let standing = member["standing"]
            .as_object()
            .and_then(|standing| standing.iter().next())
            .map_or(String::new(), |(status, reason)| {
                format!("{status}: {}", text(reason))
            });
        lines.push(format!(
            "{:<20} {:<10} {:<22} {:<9} {:>9} {:>9}  {standing}",
            text(&member["name"]),
            text(&member["zone"]),
            text(&member["address"]),
            text(&member["state"]),
            seconds(&member["since_ms"]),
            seconds(&member["heard_ms"]),
        ));
    }
    lines
}

fn format_leases(page: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for lease in page["duties"]["all"].as_array().into_iter().flatten() {
        if lines.is_empty() {
            lines.push(format!(
                "{:<30} {:<20} {:>9}  {}",
                "lease", "last holder", "left ms", "term"
            ));
        }
        lines.push(format!(
            "{:<30} {:<20} {:>9}  {}",
            text(&lease["name"]),
            text(&lease["last_holder"]),
            text(&lease["left_ms"]),
            text(&lease["term"])
        ));
    }
    if page["duties"]["majority"] == Value::Bool(false) {
        lines.push("no majority of voters answers: duties are suspended".into());
    }
    lines
}

fn format_traffic(page: &Value) -> String {
    let reasons: Vec<String> = page["dropped"]
        .as_object()
        .into_iter()
        .flatten()
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    let dropped = if reasons.is_empty() {
        "none".into()
    } else {
        reasons.join(", ")
    };
    format!(
        "sent {} ({} bytes), accepted {}, dropped: {dropped}",
        text(&page["sent"]),
        text(&page["sent_bytes"]),
        text(&page["taken"])
    )
}
