use super::*;

#[test]
fn overlapping_holdings_in_log_lines_are_reported() {
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
    // A paused balancer logs the loss of a lease late, but with the time at which it lost it.
    lines.record(
        0,
        "INFO lease lost lease=a term=0000000000000005-00000000000000aa until_us=8000 \
         reason=expired",
    );
    let report = lines.report(20_000, 0);
    assert_eq!(
        (report.overlaps, report.changes, report.vacant_leases),
        (0, 1, 0)
    );
    assert_eq!(report.without_holder_ms_by_cause["ran out"], [1.0]);
    lines.record(
        2,
        "INFO lease acquired lease=a term=0000000000000007-00000000000000cc at_us=9500",
    );
    assert_eq!(lines.report(20_000, 0).overlaps, 1);
}
