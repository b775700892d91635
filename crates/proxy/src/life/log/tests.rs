use slog::info;

use super::*;

fn lines(pipe: &Pipe) -> String {
    String::from_utf8(pipe.0.lock().unwrap().lines.clone()).unwrap()
}

#[test]
fn what_comes_from_outside_stays_in_its_field() {
    let pipe = Pipe::default();
    info!(pipe.logger(slog::Level::Info), "ended"; "upstream" => "a b\nINFO x", "reason" => "silent");
    assert_eq!(
        lines(&pipe),
        "INFO ended reason=silent upstream=\"a b\\nINFO x\"\n"
    );
}

#[test]
fn a_full_pipe_drops_lines_and_counts_them() {
    let pipe = Pipe::default();
    let line = "x".repeat(1000);
    for _ in 0..100 {
        pipe.keep(&line);
    }
    let kept = pipe.0.lock().unwrap();
    assert_eq!((kept.lines.len() / 1000, kept.dropped), (65, 35));
}
