use super::*;

#[test]
fn what_a_run_says_cannot_break_the_page() {
    let scenario = pinefront_model::validation::decode_scenario(
        "name = 'd'\nlength = '2s'\nabout = '<b>&'",
        "d.toml",
    )
    .unwrap();
    let run = Figures {
        who: "a<script>".into(),
        seconds: vec![
            Second {
                service: 0.5,
                p50_ms: 1.0,
                p90_ms: 2.0,
                p99_ms: 3.0
            };
            2
        ],
        attempts_by_server: vec![3, 0, 9],
        rule_violations: vec!["rule 1 <i>".into()],
        rule_violation_count: 1,
        ..Figures::default()
    };
    let page = page(&scenario, &[&run]).unwrap();
    assert!(page.contains("&lt;b&gt;&amp;") && page.contains("rule 1 &lt;i&gt;"));
    assert!(!page.contains("<script>") && page.matches("<svg").count() == 5);
}

#[test]
fn an_empty_run_has_a_page_too() {
    let scenario =
        pinefront_model::validation::decode_scenario("name = 'd'\nlength = '2s'", "d.toml")
            .unwrap();
    assert!(page(&scenario, &[&Figures::default()]).is_ok());
}
