//! The simulator's wire on standard input and output: one balancer for each instance, nothing shared.
//! Decodes fields and passes them on; decides nothing.

use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;

use pinefront_policy::{
    AttemptOutcome, Balancer, Host, ListedEndpoint, LoadReport, Micros, RequestArrival,
};
use pinefront_settings::decode_settings;
use pinefront_settings::fields::Decoded;
use serde::Deserialize;
use serde_json::Value;

/// Writes an instance's actions into the reply under way.
struct Wire {
    instance: u64,
    reply: Rc<RefCell<String>>,
}

impl Wire {
    fn order(&self, name: &str, fields: std::fmt::Arguments) {
        let mut reply = self.reply.borrow_mut();
        let comma = if reply.ends_with('}') { "," } else { "" };
        let written = write!(
            reply,
            "{comma}{{\"t\":\"{name}\",\"i\":{}{fields}}}",
            self.instance
        );
        debug_assert!(written.is_ok());
    }
}

/// Text as JSON, quotes and escapes included.
fn quoted(text: &str) -> Value {
    Value::from(text)
}

impl Host for Wire {
    fn start_attempt(&mut self, ticket: &str, upstream: &str, expire_at: Micros) {
        let (ticket, upstream) = (quoted(ticket), quoted(upstream));
        self.order(
            "Try",
            format_args!(",\"req\":{ticket},\"expireAtUs\":{expire_at},\"upstream\":{upstream}"),
        );
    }
    fn cancel_attempt(&mut self, ticket: &str, dispatch: usize) {
        let ticket = quoted(ticket);
        self.order(
            "CallOff",
            format_args!(",\"req\":{ticket},\"trial\":{dispatch}"),
        );
    }
    fn reject(&mut self, ticket: &str, retry_after: Micros) {
        let ticket = quoted(ticket);
        self.order(
            "PushBack",
            format_args!(",\"req\":{ticket},\"waitUs\":{retry_after}"),
        );
    }
    fn fail(&mut self, ticket: &str) {
        let ticket = quoted(ticket);
        self.order("Fail", format_args!(",\"req\":{ticket}"));
    }
    fn set_timer(&mut self, after: Micros, alarm: u64) {
        self.order(
            "SetAlarm",
            format_args!(",\"fromNowUs\":{after},\"keyBack\":{alarm}"),
        );
    }
    fn poll_endpoint_list(&mut self) {
        self.order("Follow", format_args!(",\"on\":true"));
    }
    fn probe(&mut self, upstream: &str) {
        self.order("Probe", format_args!(",\"upstream\":{}", quoted(upstream)));
    }
    fn close_idle_connections(&mut self, upstream: &str) {
        self.order("Close", format_args!(",\"upstream\":{}", quoted(upstream)));
    }
    fn send_gossip(&mut self, balancer: Option<usize>, words: &str) {
        let (target, words) = (
            balancer.map_or(Value::from("all"), Value::from),
            quoted(words),
        );
        self.order(
            "Publish",
            format_args!(",\"target\":{target},\"contents\":{words}"),
        );
    }
}

fn ending(how: &str) -> Decoded<AttemptOutcome> {
    Ok(match how {
        "pass" => AttemptOutcome::Succeeded,
        "fault" => AttemptOutcome::Failed,
        "no_room" => AttemptOutcome::Rejected,
        "too_slow" => AttemptOutcome::TimedOut,
        "no_route" => AttemptOutcome::Unreachable,
        "cut" => AttemptOutcome::ConnectionLost,
        "undone" => AttemptOutcome::Cancelled,
        "stale_send" => AttemptOutcome::NotSent,
        other => return Err(format!("field 'how' holds unknown '{other}'")),
    })
}

/// What happens to an instance. Each kind of event has its own part of these fields, read without a copy.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Event<'a> {
    t: &'a str,
    i: u64,
    nonce64: Option<u64>,
    conf: Option<Value>,
    scope: Option<&'a str>,
    #[serde(borrow)]
    members_list: Option<Vec<Entry<'a>>>,
    req: Option<&'a str>,
    qos: Option<usize>,
    client_group: Option<usize>,
    target_key: Option<u64>,
    deadline_us: Option<u64>,
    hint_us: Option<u64>,
    state_bits: Option<u64>,
    settled: Option<bool>,
    upstream: Option<&'a str>,
    trial: Option<usize>,
    delay_seen_us: Option<u64>,
    how: Option<&'a str>,
    server_stats: Option<Load>,
    key_back: Option<u64>,
    author: Option<usize>,
    contents: Option<Cow<'a, str>>,
}

/// An upstream on the list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry<'a> {
    upstream: &'a str,
    phase: &'a str,
    site: Option<u64>,
    generation_hw: Option<u64>,
    group: Option<u64>,
    weight: Option<f64>,
    launched_us: Option<u64>,
}

/// The load that an upstream tells.
#[derive(Deserialize)]
struct Load {
    busy: Option<f64>,
    q: Option<f64>,
    rif: Option<f64>,
}

#[derive(Deserialize)]
struct Batch<'a> {
    #[serde(rename = "tUs")]
    now: Micros,
    #[serde(borrow)]
    msgs: Vec<Event<'a>>,
}

fn need<T>(field: Option<T>, name: &str) -> Decoded<T> {
    field.ok_or_else(|| format!("field '{name}' is missing"))
}

fn take_list(balancer: &mut Balancer<Wire>, now: Micros, event: &Event) -> Decoded<()> {
    let complete = match need(event.scope, "scope")? {
        "failed" => {
            balancer.endpoint_list_failed();
            return Ok(());
        }
        "delta" => false,
        "full" | "cached" => true,
        other => return Err(format!("field 'scope' holds unknown '{other}'")),
    };
    balancer.endpoint_list_begins(now, complete);
    for entry in need(event.members_list.as_ref(), "membersList")? {
        match entry.phase {
            "IN" => balancer.endpoint_listed(ListedEndpoint {
                id: entry.upstream,
                zone: need(entry.site, "site")?,
                machine_type: need(entry.generation_hw, "generationHw")?,
                cell: need(entry.group, "group")?,
                weight: need(entry.weight, "weight")?,
                started_at: entry.launched_us.unwrap_or(0),
            }),
            "LAME" => balancer.endpoint_draining(entry.upstream),
            "OUT" => balancer.endpoint_removed(now, entry.upstream),
            other => return Err(format!("field 'phase' holds unknown '{other}'")),
        }
    }
    balancer.endpoint_list_ends(now);
    Ok(())
}

fn take_load(balancer: &mut Balancer<Wire>, now: Micros, event: &Event) -> Decoded<()> {
    if let Some(load) = &event.server_stats {
        let report = LoadReport {
            utilisation: load.busy,
            queue: load.q,
            in_flight: load.rif,
        };
        balancer.load_reported(now, need(event.upstream, "upstream")?, report);
    }
    Ok(())
}

type Instances = HashMap<u64, Balancer<Wire>>;

fn take(
    instances: &mut Instances,
    reply: &Rc<RefCell<String>>,
    now: Micros,
    event: &Event,
) -> Decoded<()> {
    let (name, instance) = (event.t, event.i);
    if name == "Enlist" {
        let host = Wire {
            instance,
            reply: Rc::clone(reply),
        };
        let terms = decode_settings(need(event.conf.as_ref(), "conf")?)?;
        let seed = need(event.nonce64, "nonce64")?;
        instances.insert(instance, Balancer::start(host, seed, terms, now));
        return Ok(());
    }
    let Some(balancer) = instances.get_mut(&instance) else {
        return Ok(());
    };
    match name {
        "Killed" => {
            instances.remove(&instance);
        }
        "Sync" => take_list(balancer, now, event)?,
        "Call" => balancer.request_arrived(
            now,
            RequestArrival {
                id: need(event.req, "req")?,
                class: need(event.qos, "qos")?,
                tenant: event.client_group.unwrap_or(0),
                deadline: need(event.deadline_us, "deadlineUs")?,
                work_hint: event
                    .hint_us
                    .filter(|_| event.state_bits.unwrap_or(0) & 1 == 1),
                key: event.target_key,
            },
        ),
        "Ended" => {
            take_load(balancer, now, event)?;
            balancer.attempt_ended(
                now,
                need(event.req, "req")?,
                need(event.trial, "trial")?,
                event.settled.unwrap_or(false),
                ending(need(event.how, "how")?)?,
                need(event.delay_seen_us, "delaySeenUs")?,
            );
        }
        "FirstByte" => balancer.response_started(need(event.req, "req")?),
        "Gone" => balancer.client_disconnected(now, need(event.req, "req")?),
        "Elapsed" => balancer.timer_expired(now, need(event.key_back, "keyBack")?),
        "CheckResult" => {
            take_load(balancer, now, event)?;
            let answered = ending(need(event.how, "how")?)? == AttemptOutcome::Succeeded;
            balancer.probe_completed(now, need(event.upstream, "upstream")?, answered);
        }
        "Datagram" => {
            let words = need(event.contents.as_deref(), "contents")?;
            balancer.gossip_received(now, need(event.author, "author")?, words);
        }
        _ => {}
    }
    Ok(())
}

fn play(input: impl BufRead, mut output: impl Write) -> Decoded<()> {
    let mut instances = Instances::new();
    let reply = Rc::new(RefCell::new(String::new()));
    for line in input.lines() {
        let line = line.map_err(|problem| format!("cannot read: {problem}"))?;
        let batch: Batch =
            serde_json::from_str(&line).map_err(|problem| format!("not a batch: {problem}"))?;
        let now = batch.now;
        reply.borrow_mut().push_str("{\"orders\":[");
        for (place, event) in batch.msgs.iter().enumerate() {
            take(&mut instances, &reply, now, event)
                .map_err(|problem| format!("message {place} of batch {now}: {problem}"))?;
        }
        let mut reply = reply.borrow_mut();
        reply.push_str("]}\n");
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|problem| format!("cannot write: {problem}"))?;
        reply.clear();
    }
    Ok(())
}

fn main() -> ExitCode {
    match play(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pinefront-simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
