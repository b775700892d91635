//! The simulator's wire on standard input and output: one balancer for each instance, nothing shared.
//! Decodes fields and passes them on; decides nothing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::rc::Rc;

use pinefront::{Balancer, Ending, Host, Micros};
use pinefront_terms::fields::{Decoded, count, flag, list, number, optional, part, text, whole};
use pinefront_terms::terms;
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
        let written = write!(reply, "{comma}{{\"t\":\"{name}\",\"i\":{}{fields}}}", self.instance);
        debug_assert!(written.is_ok());
    }
}

/// Text as JSON, quotes and escapes included.
fn quoted(text: &str) -> Value {
    Value::from(text)
}

impl Host for Wire {
    fn dispatch(&mut self, ticket: &str, upstream: &str, expire_at: Micros) {
        let (ticket, upstream) = (quoted(ticket), quoted(upstream));
        self.order(
            "Try",
            format_args!(",\"req\":{ticket},\"expireAtUs\":{expire_at},\"upstream\":{upstream}"),
        );
    }
    fn call_off(&mut self, ticket: &str, dispatch: usize) {
        let ticket = quoted(ticket);
        self.order("CallOff", format_args!(",\"req\":{ticket},\"trial\":{dispatch}"));
    }
    fn dismiss(&mut self, ticket: &str, come_back_after: Micros) {
        let ticket = quoted(ticket);
        self.order("PushBack", format_args!(",\"req\":{ticket},\"waitUs\":{come_back_after}"));
    }
    fn abandon(&mut self, ticket: &str) {
        let ticket = quoted(ticket);
        self.order("Fail", format_args!(",\"req\":{ticket}"));
    }
    fn wake(&mut self, after: Micros, alarm: u64) {
        self.order("SetAlarm", format_args!(",\"fromNowUs\":{after},\"keyBack\":{alarm}"));
    }
    fn follow_list(&mut self) {
        self.order("Follow", format_args!(",\"on\":true"));
    }
    fn probe(&mut self, upstream: &str) {
        self.order("Probe", format_args!(",\"upstream\":{}", quoted(upstream)));
    }
    fn close_idle(&mut self, upstream: &str) {
        self.order("Close", format_args!(",\"upstream\":{}", quoted(upstream)));
    }
    fn tell(&mut self, balancer: Option<usize>, words: &str) {
        let (target, words) = (balancer.map_or(Value::from("all"), Value::from), quoted(words));
        self.order("Publish", format_args!(",\"target\":{target},\"contents\":{words}"));
    }
}

fn ending(how: &str) -> Decoded<Ending> {
    Ok(match how {
        "pass" => Ending::Succeeded,
        "fault" => Ending::Failed,
        "no_room" => Ending::TurnedAway,
        "too_slow" => Ending::Silent,
        "no_route" => Ending::Unreachable,
        "cut" => Ending::Broken,
        "undone" => Ending::CalledOff,
        "stale_send" => Ending::NeverSent,
        other => return Err(format!("field 'how' holds unknown '{other}'")),
    })
}

fn take_list(balancer: &mut Balancer<Wire>, now: Micros, event: &Value) -> Decoded<()> {
    let complete = match text(event, "scope")? {
        "failed" => {
            balancer.list_failed();
            return Ok(());
        }
        "delta" => false,
        "full" | "cached" => true,
        other => return Err(format!("field 'scope' holds unknown '{other}'")),
    };
    balancer.list_begins(now, complete);
    for entry in list(event, "membersList")? {
        let upstream = text(entry, "upstream")?;
        match text(entry, "phase")? {
            "IN" => balancer.list_entry(
                upstream,
                whole(entry, "site")?,
                whole(entry, "generationHw")?,
                whole(entry, "group")?,
                number(entry, "weight")?,
                optional(entry, "launchedUs", Value::as_u64)?.unwrap_or(0),
            ),
            "LAME" => balancer.list_drains(upstream),
            "OUT" => balancer.list_drops(now, upstream),
            other => return Err(format!("field 'phase' holds unknown '{other}'")),
        }
    }
    balancer.list_ends(now);
    Ok(())
}

fn take_load(balancer: &mut Balancer<Wire>, now: Micros, event: &Value) -> Decoded<()> {
    if let Some(report) = optional(event, "serverStats", Some)? {
        balancer.load_reported(
            now,
            text(event, "upstream")?,
            optional(report, "busy", Value::as_f64)?,
            optional(report, "q", Value::as_f64)?,
            optional(report, "rif", Value::as_f64)?,
        );
    }
    Ok(())
}

type Instances = HashMap<u64, Balancer<Wire>>;

fn take(instances: &mut Instances, reply: &Rc<RefCell<String>>, now: Micros, event: &Value) -> Decoded<()> {
    let (name, instance) = (text(event, "t")?, whole(event, "i")?);
    if name == "Enlist" {
        let host = Wire { instance, reply: Rc::clone(reply) };
        let terms = terms(part(event, "conf")?)?;
        let seed = whole(event, "nonce64")?;
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
        "Call" => balancer.ticket_arrived(
            now,
            text(event, "req")?,
            count(event, "qos")?,
            optional(event, "clientGroup", Value::as_u64)?.unwrap_or(0) as usize,
            whole(event, "deadlineUs")?,
            match optional(event, "stateBits", Value::as_u64)?.unwrap_or(0) & 1 {
                1 => optional(event, "hintUs", Value::as_u64)?,
                _ => None,
            },
            optional(event, "targetKey", Value::as_u64)?,
        ),
        "Ended" => {
            take_load(balancer, now, event)?;
            balancer.dispatch_ended(
                now,
                text(event, "req")?,
                count(event, "trial")?,
                flag(event, "settled")?,
                ending(text(event, "how")?)?,
                whole(event, "delaySeenUs")?,
            );
        }
        "FirstByte" => balancer.stream_began(text(event, "req")?),
        "Gone" => balancer.client_left(now, text(event, "req")?),
        "Elapsed" => balancer.alarm_rang(now, whole(event, "keyBack")?),
        "CheckResult" => {
            take_load(balancer, now, event)?;
            let answered = ending(text(event, "how")?)? == Ending::Succeeded;
            balancer.probed(now, text(event, "upstream")?, answered);
        }
        "Datagram" => balancer.told(now, count(event, "author")?, text(event, "contents")?),
        _ => {}
    }
    Ok(())
}

fn play(input: impl BufRead, mut output: impl Write) -> Decoded<()> {
    let mut instances = Instances::new();
    let reply = Rc::new(RefCell::new(String::new()));
    for line in input.lines() {
        let line = line.map_err(|problem| format!("cannot read: {problem}"))?;
        let batch: Value = serde_json::from_str(&line).map_err(|problem| format!("not JSON: {problem}"))?;
        let now = whole(&batch, "tUs")?;
        reply.borrow_mut().push_str("{\"orders\":[");
        for (place, event) in list(&batch, "msgs")?.iter().enumerate() {
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
            eprintln!("pinefront-drill: {problem}");
            ExitCode::FAILURE
        }
    }
}
