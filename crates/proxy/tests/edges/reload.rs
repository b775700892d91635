//! Compares the polls that a new discovery receives after a reload with the recording.

use std::process::Command;

use serde_json::json;

use crate::harness::{
    Balancer, Recording, Reply, StandIn, config, free_port, http_response, six_entries,
    unique_loopback_address,
};

#[test]
fn polls_after_a_reload_are_as_recorded() {
    let ip = unique_loopback_address();
    let endpoint = StandIn::start(ip, |_, _| Reply::Hold);
    let list = json!({"rev": 3, "all": true, "targets": six_entries(endpoint.address)});
    let answer = http_response(&list);
    let script = move |number, _: &[u8]| match number {
        0 => Reply::Respond(answer.clone()),
        _ => Reply::Hold,
    };
    let first = StandIn::start(ip, script.clone());
    let second = StandIn::start(ip, script);
    let listen = free_port(ip);
    let balancer = Balancer::start("reload", &config(listen, first.address));
    balancer.wait_for("/health/ready");
    let mut recording = Recording::new(&[(first.address, "FIRST"), (second.address, "SECOND")]);
    recording.add("the first, call 0", &first.next().bytes);
    recording.add("the first, call 1", &first.next().bytes);
    let changed = config(listen, second.address).to_string();
    std::fs::write(&balancer.config_file, changed).unwrap();
    let process = balancer.process_id().to_string();
    let sent = Command::new("kill").args(["-HUP", &process]).status();
    assert!(sent.unwrap().success());
    recording.add("the second, call 0", &second.next().bytes);
    recording.add("the second, call 1", &second.next().bytes);
    recording.compare("discovery-reloaded.txt");
}
