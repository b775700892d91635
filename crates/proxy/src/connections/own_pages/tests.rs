use crate::test_harness::{TestHarness, say};

#[test]
fn readiness_waits_for_an_endpoint_list() {
    let mut harness = TestHarness::new();
    let (client, _) = harness.client();
    say(&client, "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(
        harness
            .heard(&client, "not ready\n")
            .starts_with("HTTP/1.1 503 ")
    );
    let discovery = harness.discovery.try_clone().unwrap();
    let call = harness.accepted(&discovery);
    assert!(
        harness
            .heard(&call, "\r\n\r\n")
            .starts_with("GET /registry/instances HTTP/1.1\r\n")
    );
    let list = r#"{"rev":4,"all":true,"targets":[]}"#;
    say(
        &call,
        &format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        ),
    );
    harness.heard(&call, "\r\n\r\n");
    say(&client, "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(
        harness
            .heard(&client, "ready\n")
            .starts_with("HTTP/1.1 200 ")
    );
}
