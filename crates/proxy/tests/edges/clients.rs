//! Bytes that a client receives for each kind of response.

use std::io::Write;
use std::net::TcpStream;

use serde_json::{Value, json};

use crate::harness::{
    Balancer, Recording, Reply, StandIn, config, free_port, http_response, read_response,
    six_entries, unique_loopback_address,
};

fn get(id: &str) -> String {
    format!("GET /look/{id} HTTP/1.1\r\nHost: app\r\nX-Txn: {id}\r\nX-Remaining-Ms: 15000\r\n\r\n")
}

/// Responses of the endpoint, by request id.
const ENDPOINT_RESPONSES: [(&str, &str); 8] = [
    ("plain", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"),
    (
        "fields",
        "HTTP/1.1 200 Fine\r\nServer: s1\r\nX-Pressure: TEXT inflight=1, queue=0\r\n\
         Connection: keep-alive\r\n\
         Keep-Alive: timeout=5\r\nSet-Cookie: a=1\r\nset-cookie: b=2\r\nUpgrade: h2c\r\n\
         Content-Length: 2\r\n\r\nok",
    ),
    (
        "chunked",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n2\r\nab\r\n\
         3;x=y\r\ncde\r\n\
         0\r\nX-End: 1\r\n\r\n",
    ),
    (
        "early",
        "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\
         1",
    ),
    ("empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    ("closed", "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nto the end"),
    ("failed", "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"),
    (
        "rejected",
        "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n",
    ),
];

fn endpoint_reply(message: &[u8]) -> Reply {
    let text = String::from_utf8_lossy(message).into_owned();
    let id = text.lines().find_map(|line| line.strip_prefix("X-Txn: "));
    let id = id.unwrap_or_default();
    let response = ENDPOINT_RESPONSES
        .iter()
        .find(|(known, _)| *known == id)
        .map_or(ENDPOINT_RESPONSES[0].1, |(_, response)| response);
    match id {
        "closed" => Reply::RespondAndClose(response.into()),
        "held" => Reply::WhenReleased(response.into()),
        _ => Reply::Respond(response.into()),
    }
}

struct TestSetup {
    endpoint: StandIn,
    _discovery: StandIn,
    balancer: Balancer,
}

impl TestSetup {
    fn start(test: &str, change: impl FnOnce(&mut Value)) -> Self {
        let ip = unique_loopback_address();
        let endpoint = StandIn::start(ip, |_, message| endpoint_reply(message));
        let list = json!({"rev": 3, "all": true, "targets": six_entries(endpoint.address)});
        let discovery = StandIn::start(ip, move |number, _| match number {
            0 => Reply::Respond(http_response(&list)),
            _ => Reply::Hold,
        });
        let mut config = config(free_port(ip), discovery.address);
        change(&mut config);
        let balancer = Balancer::start(test, &config);
        balancer.wait_for("/health/ready");
        Self {
            endpoint,
            _discovery: discovery,
            balancer,
        }
    }

    fn record(&self, recording: &mut Recording, title: &str, request: &str) {
        recording.add(title, &self.balancer.send_request(request.as_bytes()));
    }
}

#[test]
fn forwarded_responses_match_the_recording() {
    let setup = TestSetup::start("answers", |_| {});
    let mut recording = Recording::new(&[]);
    for id in ["plain", "fields", "chunked", "early", "empty", "closed"] {
        setup.record(&mut recording, &format!("200, {id}"), &get(id));
    }
    setup.record(
        &mut recording,
        "503, the endpoint answers 500 to an idempotent request",
        &get("failed"),
    );
    setup.record(
        &mut recording,
        "503, the endpoint rejects",
        &get("rejected"),
    );
    let non_idempotent_request =
        "POST /swap/1 HTTP/1.1\r\nHost: app\r\nX-Txn: failed\r\nX-Remaining-Ms: 15000\r\n\r\n";
    setup.record(
        &mut recording,
        "502, the endpoint answers 500 to another",
        non_idempotent_request,
    );
    let closing = get("plain").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    setup.record(&mut recording, "200, connection closed", &closing);
    let http_1_0 = get("plain").replace("HTTP/1.1", "HTTP/1.0");
    setup.record(&mut recording, "200, HTTP/1.0", &http_1_0);
    let expecting = "POST /swap/1 HTTP/1.1\r\nHost: app\r\nX-Txn: waits\r\n\
                     X-Remaining-Ms: 15000\r\n\
                     Expect: 100-continue\r\nContent-Length: 3\r\n\r\n";
    let mut stream = TcpStream::connect(setup.balancer.address).unwrap();
    stream.write_all(expecting.as_bytes()).unwrap();
    let mut continued = [0; 25];
    std::io::Read::read_exact(&mut stream, &mut continued).unwrap();
    recording.add("100 before the body", &continued);
    stream.write_all(b"abc").unwrap();
    recording.add("200 after the body", &read_response(&mut stream));
    recording.compare("client-forwarded.txt");
}

#[test]
fn error_responses_match_the_recording() {
    let setup = TestSetup::start("refusals", |_| {});
    let mut recording = Recording::new(&[]);
    let fields = "Host: app\r\nX-Txn: t1\r\nX-Remaining-Ms: 15000\r\n";
    let cases = [
        ("400, no head", "no head at all\r\n\r\n".to_owned()),
        (
            "400, bare line feed",
            format!("GET /look/1 HTTP/1.1\n{fields}\r\n"),
        ),
        (
            "400, two lengths",
            format!(
                "POST /swap/1 HTTP/1.1\r\n{fields}Content-Length: 1\r\nContent-Length: 2\r\n\r\n"
            ),
        ),
        (
            "400, chunks in HTTP/1.0",
            format!("POST /swap/1 HTTP/1.0\r\n{fields}Transfer-Encoding: chunked\r\n\r\n"),
        ),
        (
            "400, malformed chunk",
            format!(
                "POST /swap/1 HTTP/1.1\r\n{fields}Transfer-Encoding: chunked\r\n\r\nxyz\r\n\r\n"
            ),
        ),
        (
            "400, no id",
            "GET /look/1 HTTP/1.1\r\nHost: app\r\nX-Remaining-Ms: 15000\r\n\r\n".into(),
        ),
        (
            "400, id twice",
            format!("GET /look/1 HTTP/1.1\r\n{fields}X-Txn: t2\r\n\r\n"),
        ),
        (
            "400, no time",
            "GET /look/1 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\n\r\n".into(),
        ),
        (
            "400, unreadable time",
            "GET /look/1 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\nX-Remaining-Ms: -5\r\n\r\n".into(),
        ),
        (
            "400, no idempotency key",
            format!("POST /pay/1 HTTP/1.1\r\n{fields}Content-Length: 0\r\n\r\n"),
        ),
        (
            "404, unknown class",
            format!("GET /other/1 HTTP/1.1\r\n{fields}\r\n"),
        ),
        (
            "404, path and class differ",
            format!("GET /look/1 HTTP/1.1\r\n{fields}X-Lane: swap\r\n\r\n"),
        ),
        (
            "404, no fleet",
            "GET /fleet HTTP/1.1\r\nHost: app\r\n\r\n".into(),
        ),
        (
            "405, POST of an idempotent class",
            format!("POST /look/1 HTTP/1.1\r\n{fields}Content-Length: 0\r\n\r\n"),
        ),
        (
            "405, GET of another",
            format!("GET /swap/1 HTTP/1.1\r\n{fields}\r\n"),
        ),
        (
            "405, DELETE",
            format!("DELETE /look/1 HTTP/1.1\r\n{fields}\r\n"),
        ),
        (
            "405, a page",
            "POST /health/live HTTP/1.1\r\nHost: app\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        (
            "413, stated length",
            format!("POST /swap/1 HTTP/1.1\r\n{fields}Content-Length: 65537\r\n\r\n"),
        ),
        (
            "413, unbounded length",
            format!(
                "POST /swap/1 HTTP/1.1\r\n{fields}Content-Length: 99999999999999999999999\r\n\r\n"
            ),
        ),
        (
            "413, chunked",
            format!("POST /swap/1 HTTP/1.1\r\n{fields}Transfer-Encoding: chunked\r\n\r\n10001\r\n"),
        ),
        (
            "431, long head",
            format!(
                "GET /look/1 HTTP/1.1\r\n{fields}X-Long: {}\r\n\r\n",
                "x".repeat(16 * 1024)
            ),
        ),
        (
            "431, many fields",
            format!(
                "GET /look/1 HTTP/1.1\r\n{fields}{}\r\n",
                "X-Many: 1\r\n".repeat(62)
            ),
        ),
        (
            "408, the head stays incomplete",
            "GET /look/1 HTTP/1.1\r\nHost: app\r\n".into(),
        ),
        (
            "408, the body stays incomplete",
            format!("POST /swap/1 HTTP/1.1\r\n{fields}Content-Length: 9\r\n\r\n1234"),
        ),
    ];
    for (title, request) in cases {
        setup.record(&mut recording, title, &request);
    }
    let mut first = TcpStream::connect(setup.balancer.address).unwrap();
    first.write_all(get("held").as_bytes()).unwrap();
    setup.endpoint.next();
    setup.record(&mut recording, "409, the id is open", &get("held"));
    setup.endpoint.release();
    recording.add("200 to the first of that id", &read_response(&mut first));
    recording.compare("client-refused.txt");
}

#[test]
fn the_rejection_of_a_long_message_at_the_memory_limit_matches_the_recording() {
    let setup = TestSetup::start("memory", |config| config["limits"]["memory_mb"] = 0.into());
    let mut recording = Recording::new(&[]);
    let body = "x".repeat(8 * 1024);
    let long = format!(
        "POST /swap/1 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\nX-Remaining-Ms: 15000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    setup.record(&mut recording, "503, no memory left", &long);
    setup.record(&mut recording, "200, a short one", &get("plain"));
    recording.compare("client-memory.txt");
}

#[test]
fn pages_match_the_recording() {
    let setup = TestSetup::start("pages", |_| {});
    let mut recording = Recording::new(&[]);
    for page in [
        "/health/ready",
        "/health/live",
        "/health/ready?a=b",
        "/health",
    ] {
        let request = format!("GET {page} HTTP/1.1\r\nHost: app\r\n\r\n");
        setup.record(&mut recording, page, &request);
    }
    let stats = setup
        .balancer
        .send_request(b"GET /stats HTTP/1.1\r\nHost: app\r\n\r\n");
    let head = stats
        .windows(4)
        .position(|part| part == b"\r\n\r\n")
        .unwrap()
        + 4;
    let head = String::from_utf8_lossy(&stats[..head]).into_owned();
    let length = (stats.len() - head.len()).to_string();
    recording.add("/stats, head", head.replace(&length, "LENGTH").as_bytes());
    recording.compare("client-pages.txt");
}

/// With these settings the balancer sends no `Retry-After`.
#[test]
fn a_rejection_without_retry_after_matches_the_recording() {
    let setup = TestSetup::start("no-retry-after", |config| {
        config["settings"]["caps"]["retryAfter"] = false.into();
    });
    let mut recording = Recording::new(&[]);
    setup.record(&mut recording, "503 without Retry-After", &get("rejected"));
    recording.compare("client-no-retry-after.txt");
}

/// Discovery accepts the poll and never responds, so the balancer has no endpoint list.
#[test]
fn responses_before_the_first_list_match_the_recording() {
    let ip = unique_loopback_address();
    let discovery = StandIn::start(ip, |_, _| Reply::Hold);
    let balancer = Balancer::start("listless", &config(free_port(ip), discovery.address));
    let mut recording = Recording::new(&[]);
    for page in ["/health/ready", "/health/live"] {
        let request = format!("GET {page} HTTP/1.1\r\nHost: app\r\n\r\n");
        recording.add(page, &balancer.send_request(request.as_bytes()));
    }
    let short = get("t1").replace("15000", "300");
    recording.add(
        "no endpoint in time",
        &balancer.send_request(short.as_bytes()),
    );
    recording.compare("client-listless.txt");
}
