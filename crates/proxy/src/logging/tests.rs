use slog::info;

use super::*;

fn lines(log_buffer: &LogBuffer) -> String {
    String::from_utf8(log_buffer.0.lock().unwrap().bytes.clone()).unwrap()
}

#[test]
fn an_external_value_is_quoted_within_its_field() {
    let log_buffer = LogBuffer::default();
    info!(log_buffer.logger(slog::Level::Info), "closed";
        "endpoint" => "a b\nINFO x", "reason" => "timed_out");
    assert_eq!(
        lines(&log_buffer),
        "INFO closed reason=timed_out endpoint=\"a b\\nINFO x\"\n"
    );
}

#[test]
fn a_full_pipe_drops_lines_and_counts_them() {
    let log_buffer = LogBuffer::default();
    let line = "x".repeat(1000);
    for _ in 0..100 {
        log_buffer.push(&line);
    }
    let pending = log_buffer.0.lock().unwrap();
    assert_eq!((pending.bytes.len() / 1000, pending.dropped), (65, 35));
}
