use super::*;

#[test]
fn texts_of_a_run_are_escaped_in_the_page() {
    let scenario = pinefront_model::validation::decode_scenario(
        "name = 'test'\nlength = '2s'\nabout = '<b>&'",
        "scenario.toml",
    )
    .unwrap();
    let run = Figures {
        subject: "a<script>".into(),
        seconds: vec![
            SecondFigures {
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
    let page = render_page(&scenario, &[&run]).unwrap();
    assert!(page.contains("&lt;b&gt;&amp;") && page.contains("rule 1 &lt;i&gt;"));
    assert!(!page.contains("<script>") && page.matches("<svg").count() == 5);
}

#[test]
fn a_page_is_rendered_for_an_empty_run() {
    let scenario = pinefront_model::validation::decode_scenario(
        "name = 'test'\nlength = '2s'",
        "scenario.toml",
    )
    .unwrap();
    assert!(render_page(&scenario, &[&Figures::default()]).is_ok());
}
