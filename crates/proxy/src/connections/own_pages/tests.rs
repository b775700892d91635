use crate::test_harness::{TestHarness, send_text};

#[test]
fn readiness_waits_for_an_endpoint_list() {
    let mut harness = TestHarness::new();
    let (client, _) = harness.connect_client();
    send_text(&client, "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(
        harness
            .read_until(&client, "not ready\n")
            .starts_with("HTTP/1.1 503 ")
    );
    let discovery = harness.discovery.try_clone().unwrap();
    let poll = harness.accept_connection(&discovery);
    assert!(
        harness
            .read_until(&poll, "\r\n\r\n")
            .starts_with("GET /registry/instances HTTP/1.1\r\n")
    );
    let list = r#"{"rev":4,"all":true,"targets":[]}"#;
    send_text(
        &poll,
        &format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        ),
    );
    harness.read_until(&poll, "\r\n\r\n");
    send_text(&client, "GET /health/ready HTTP/1.1\r\n\r\n");
    assert!(
        harness
            .read_until(&client, "ready\n")
            .starts_with("HTTP/1.1 200 ")
    );
}
