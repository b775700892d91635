//! The actions of an instance as the simulator reads them.

use std::cell::RefCell;
use std::fmt::{self, Write as _};
use std::rc::Rc;

use pinefront_policy::{Host, Micros};
use serde_json::Value;

/// The reply to a batch: one line of JSON with the actions of all instances.
#[derive(Clone, Default)]
pub struct Reply {
    line: Rc<RefCell<String>>,
}

impl Reply {
    /// Begins the reply to a batch.
    pub fn begin(&self) {
        self.line.borrow_mut().push_str("{\"orders\":[");
    }

    /// Ends the reply, and returns its line.
    pub fn take(&self) -> String {
        let mut line = self.line.take();
        line.push_str("]}\n");
        line
    }
}

/// Writes the actions of one instance into the reply.
pub struct SimulatorHost {
    instance: u64,
    reply: Reply,
}

impl SimulatorHost {
    pub fn new(instance: u64, reply: Reply) -> Self {
        Self { instance, reply }
    }

    /// Appends an action with its fields, each with a comma before it.
    fn append(&self, action: &str, fields: fmt::Arguments) {
        let mut line = self.reply.line.borrow_mut();
        let comma = if line.ends_with('}') { "," } else { "" };
        let instance = self.instance;
        let written = write!(
            line,
            "{comma}{{\"t\":\"{action}\",\"i\":{instance}{fields}}}"
        );
        debug_assert!(written.is_ok(), "writing to a String cannot fail");
    }
}

/// Text as JSON, with quotes and escapes.
fn quoted(text: &str) -> Value {
    Value::from(text)
}

impl Host for SimulatorHost {
    fn start_attempt(&mut self, request: &str, endpoint: &str, expire_at: Micros) {
        let (request, endpoint) = (quoted(request), quoted(endpoint));
        self.append(
            "Try",
            format_args!(",\"req\":{request},\"expireAtUs\":{expire_at},\"upstream\":{endpoint}"),
        );
    }

    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        let request = quoted(request);
        self.append(
            "CallOff",
            format_args!(",\"req\":{request},\"trial\":{attempt}"),
        );
    }

    fn reject(&mut self, request: &str, retry_after: Micros) {
        let request = quoted(request);
        self.append(
            "PushBack",
            format_args!(",\"req\":{request},\"waitUs\":{retry_after}"),
        );
    }

    fn fail(&mut self, request: &str) {
        self.append("Fail", format_args!(",\"req\":{}", quoted(request)));
    }

    fn set_timer(&mut self, after: Micros, timer: u64) {
        self.append(
            "SetAlarm",
            format_args!(",\"fromNowUs\":{after},\"keyBack\":{timer}"),
        );
    }

    fn poll_endpoint_list(&mut self) {
        self.append("Follow", format_args!(",\"on\":true"));
    }

    fn probe(&mut self, endpoint: &str) {
        let endpoint = quoted(endpoint);
        self.append("Probe", format_args!(",\"upstream\":{endpoint}"));
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        let endpoint = quoted(endpoint);
        self.append("Close", format_args!(",\"upstream\":{endpoint}"));
    }

    fn send_gossip(&mut self, balancer: Option<usize>, message: &str) {
        let target = balancer.map_or(Value::from("all"), Value::from);
        let message = quoted(message);
        self.append(
            "Publish",
            format_args!(",\"target\":{target},\"contents\":{message}"),
        );
    }
}
