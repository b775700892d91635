use super::*;

#[test]
fn holdings_are_read_from_log_lines_and_compared() {
    let lines = LeaseLog::default();
    lines.record(
        0,
        "INFO lease acquired lease=a term=0000000000000005-00000000000000aa at_us=1000",
    );
    lines.record(
        1,
        "INFO lease acquired lease=a term=0000000000000006-00000000000000bb at_us=9000",
    );
    lines.record(0, "INFO member joined member=b2");
    // Said late by one that was stopped: it lost it long before.
    lines.record(
        0,
        "INFO lease lost lease=a term=0000000000000005-00000000000000aa until_us=8000 reason=expired",
    );
    let found = lines.report(20_000, 0);
    assert_eq!((found.overlaps, found.changes, found.vacant), (0, 1, 0));
    assert_eq!(found.without_holder_by["ran out"], [1.0]);
    lines.record(
        2,
        "INFO lease acquired lease=a term=0000000000000007-00000000000000cc at_us=9500",
    );
    assert_eq!(lines.report(20_000, 0).overlaps, 1);
}
