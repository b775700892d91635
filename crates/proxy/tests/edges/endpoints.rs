//! Bytes that an endpoint receives.

use serde_json::json;

use crate::harness::{
    Balancer, Recording, Reply, StandIn, config, free_port, http_response, six_entries,
    unique_loopback_address,
};

const EMPTY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

const REQUESTS: [(&str, &str); 9] = [
    (
        "GET without a body",
        "GET /look/1 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\nX-Remaining-Ms: 15000\r\n\r\n",
    ),
    (
        "GET with a query, all of the protocol's fields and others",
        "GET /look/a%20b?x=2&y= HTTP/1.1\r\nhost: app:80\r\nX-Txn: t2\r\nX-Lane: look\r\n\
         X-Org: acme\r\n\
         X-Entity: e7\r\nX-Estimate: 0.25\r\nX-Remaining-Ms: 15000\r\nAccept:*/*\r\n\
         X-Own:  two  blanks \r\n\r\n",
    ),
    (
        "GET with a body",
        "GET /look/3 HTTP/1.1\r\nHost: app\r\nX-Txn: t3\r\nX-Remaining-Ms: 15000\r\n\
         Content-Length: 2\r\n\r\nab",
    ),
    (
        "GET with an absolute target",
        "GET http://app/look/4 HTTP/1.1\r\nHost: app\r\nX-Txn: t4\r\nX-Remaining-Ms: 15000\r\n\r\n",
    ),
    (
        "POST with a body",
        "POST /pay/5 HTTP/1.1\r\nHost: app\r\nX-Txn: t5\r\nX-Lane: pay\r\nX-Org: acme\r\n\
         Idempotency-Key: k5\r\n\
         X-Remaining-Ms: 15000\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
    ),
    (
        "POST without a body",
        "POST /swap/6 HTTP/1.1\r\nHost: app\r\nX-Txn: t6\r\nX-Remaining-Ms: 15000\r\n\r\n",
    ),
    (
        "POST in chunks, with a trailer",
        "POST /swap/7 HTTP/1.1\r\nHost: app\r\nX-Txn: t7\r\nX-Remaining-Ms: 15000\r\n\
         Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\n\
         X-End: 1\r\n\r\n",
    ),
    (
        "POST with fields of one hop",
        "POST /swap/8 HTTP/1.1\r\nHost: app\r\nConnection: keep-alive, X-Mine\r\n\
         Keep-Alive: timeout=5\r\n\
         Proxy-Connection: keep-alive\r\nTE: trailers\r\nUpgrade: h2c\r\nX-Mine: 1\r\nX-Txn: t8\r\n\
         X-Remaining-Ms: 15000\r\nContent-Length: 1\r\n\r\n8",
    ),
    (
        "HTTP/1.0 without a host",
        "POST /swap/9 HTTP/1.0\r\nX-Txn: t9\r\nX-Remaining-Ms: 15000\r\nContent-Length: 1\r\n\r\n9",
    ),
];

#[test]
fn forwarded_requests_match_the_recording() {
    let ip = unique_loopback_address();
    let endpoint = StandIn::start(ip, |_, _| Reply::Respond(EMPTY_RESPONSE.to_vec()));
    let list = json!({"rev": 3, "all": true, "targets": six_entries(endpoint.address)});
    let discovery = StandIn::start(ip, move |number, _| match number {
        0 => Reply::Respond(http_response(&list)),
        _ => Reply::Hold,
    });
    let listen = free_port(ip);
    let balancer = Balancer::start("forwarded", &config(listen, discovery.address));
    balancer.wait_for("/health/ready");
    let mut recording = Recording::new(&[(endpoint.address, "ENDPOINT")]);
    for (title, request) in REQUESTS {
        let response = balancer.send_request(request.as_bytes());
        assert!(response.starts_with(b"HTTP/1.1 200 OK\r\n"), "{title}");
        let received = endpoint.next().bytes;
        assert!(remaining_ms(&received) <= 15_000, "{title}");
        recording.add(title, &received);
    }
    recording.compare("endpoint-requests.txt");
}

#[test]
fn a_probe_matches_the_recording() {
    let ip = unique_loopback_address();
    let report =
        "HTTP/1.1 200 OK\r\nX-Pressure: TEXT inflight=0, queue=0\r\nContent-Length: 0\r\n\r\n";
    let endpoint = StandIn::start(ip, move |_, _| Reply::Respond(report.into()));
    let list = json!({"rev": 3, "all": true, "targets": six_entries(endpoint.address)});
    let discovery = StandIn::start(ip, move |number, _| match number {
        0 => Reply::Respond(http_response(&list)),
        _ => Reply::Hold,
    });
    let listen = free_port(ip);
    let mut config = config(listen, discovery.address);
    config["settings"]["report"]["source"] = "on_probe".into();
    config["settings"]["caps"]["probes"] = true.into();
    config["probe_path"] = "/load?full".into();
    let balancer = Balancer::start("probe", &config);
    balancer.wait_for("/health/ready");
    let request = "GET /look/1 HTTP/1.1\r\nHost: app\r\nX-Txn: t1\r\nX-Remaining-Ms: 15000\r\n\r\n";
    let response = balancer.send_request(request.as_bytes());
    assert!(response.starts_with(b"HTTP/1.1 200 OK\r\n"));
    let mut recording = Recording::new(&[(endpoint.address, "ENDPOINT")]);
    recording.add("a probe", &endpoint.next().bytes);
    recording.compare("endpoint-probe.txt");
}

/// Returns the remaining time stated in a request, in milliseconds.
fn remaining_ms(message: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(message).into_owned();
    let field = text
        .lines()
        .find_map(|line| line.strip_prefix("X-Remaining-Ms: "))
        .unwrap();
    field.parse().unwrap()
}
