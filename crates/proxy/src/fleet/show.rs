//! `pinefront fleet`: a balancer's view of its fleet as a table, asked over HTTP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// How long a balancer may take to answer, and how often it is asked anew.
const WITHIN: Duration = Duration::from_secs(2);
const APART: Duration = Duration::from_secs(1);
/// Bytes of an answer at most: a thousand members fit twice.
const ANSWER_MOST: u64 = 1 << 20;

fn ask(at: SocketAddr) -> Result<String, String> {
    let asked = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, WITHIN)?;
        stream.set_read_timeout(Some(WITHIN))?;
        stream.set_write_timeout(Some(WITHIN))?;
        stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.take(ANSWER_MOST).read_to_string(&mut text)?;
        Ok(text)
    };
    let text = asked().map_err(|problem| format!("cannot ask {at}: {problem}"))?;
    match text.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200 ") => Ok(body.to_owned()),
        _ => Err(format!(
            "{at} is in no fleet: was it started with --operator?"
        )),
    }
}

fn table(page: &Value) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    };
    let mut lines = vec![format!(
        "fleet {}, seen by {} ({}): {} present, {} may be serving{}",
        text(&page["fleet"]),
        text(&page["member"]),
        text(&page["zone"]),
        text(&page["present"]),
        text(&page["may_be_serving"]),
        if page["heard"] == Value::Bool(false) {
            "; not heard since it slept, so its view may be old"
        } else {
            ""
        }
    )];
    lines.push(format!(
        "{:<20} {:<10} {:<22} {:<9} {:>9} {:>9}  {}",
        "member", "zone", "address", "state", "for s", "heard s", "standing"
    ));
    for member in page["members"].as_array().into_iter().flatten() {
        let seconds = |value: &Value| {
            value
                .as_f64()
                .map_or("never".into(), |ms| format!("{:.1}", ms / 1e3))
        };
        let serving_status = member["standing"]
            .as_object()
            .and_then(|serving_status| serving_status.iter().next());
        let serving_status = serving_status.map_or(String::new(), |(what, reason)| {
            format!("{what}: {}", text(reason))
        });
        lines.push(format!(
            "{:<20} {:<10} {:<22} {:<9} {:>9} {:>9}  {}",
            text(&member["name"]),
            text(&member["zone"]),
            text(&member["address"]),
            text(&member["state"]),
            seconds(&member["since_ms"]),
            seconds(&member["heard_ms"]),
            serving_status
        ));
    }
    let leases = page["duties"]["all"].as_array().into_iter().flatten();
    for (place, lease) in leases.enumerate() {
        if place == 0 {
            lines.push(format!(
                "{:<30} {:<20} {:>9}  {}",
                "duty", "last holder", "left ms", "term"
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
        lines.push("no majority of voters answers: duties rest".into());
    }
    let dropped = page["dropped"].as_object().into_iter().flatten();
    let dropped: Vec<_> = dropped
        .map(|(cause, count)| format!("{cause} {count}"))
        .collect();
    let dropped = if dropped.is_empty() {
        "none".into()
    } else {
        dropped.join(", ")
    };
    lines.push(format!(
        "sent {} ({} bytes), taken {}, dropped: {dropped}",
        text(&page["sent"]),
        text(&page["sent_bytes"]),
        text(&page["taken"])
    ));
    lines.join("\n")
}

/// Prints the view of the balancer that clients reach at an address, once or again and again.
pub fn show(at: &str, watch: bool, json: bool) -> Result<(), String> {
    let at: SocketAddr = at
        .parse()
        .map_err(|_| format!("'{at}' is no address and port"))?;
    loop {
        let body = ask(at)?;
        if json {
            print!("{body}");
        } else {
            let page: Value = serde_json::from_str(&body)
                .map_err(|problem| format!("{at} answered no JSON: {problem}"))?;
            println!("{}", table(&page));
        }
        if !watch {
            return Ok(());
        }
        std::thread::sleep(APART);
        println!();
    }
}
