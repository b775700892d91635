//! Encodes the actions of balancer instances in the simulator's wire format.

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
    /// Writes the start of the reply to a batch.
    pub fn begin(&self) {
        self.line.borrow_mut().push_str("{\"orders\":[");
    }

    /// Completes the reply, returns its line and leaves the buffer empty.
    pub fn finish(&self) -> String {
        let mut line = self.line.take();
        line.push_str("]}\n");
        line
    }
}

/// Appends the actions of one instance to the reply.
pub struct SimulatorHost {
    instance: u64,
    reply: Reply,
}

impl SimulatorHost {
    pub fn new(instance: u64, reply: Reply) -> Self {
        Self { instance, reply }
    }

    /// Appends an action. `fields` are its JSON fields, each preceded by a comma.
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

/// Converts a text to a JSON string, which is displayed with quotes and escapes.
fn json_string(text: &str) -> Value {
    Value::from(text)
}

impl Host for SimulatorHost {
    fn start_attempt(&mut self, request: &str, endpoint: &str, expire_at: Micros) {
        let (request, endpoint) = (json_string(request), json_string(endpoint));
        self.append(
            "Try",
            format_args!(",\"req\":{request},\"expireAtUs\":{expire_at},\"upstream\":{endpoint}"),
        );
    }

    fn cancel_attempt(&mut self, request: &str, attempt: usize) {
        let request = json_string(request);
        self.append(
            "CallOff",
            format_args!(",\"req\":{request},\"trial\":{attempt}"),
        );
    }

    fn reject(&mut self, request: &str, retry_after: Micros) {
        let request = json_string(request);
        self.append(
            "PushBack",
            format_args!(",\"req\":{request},\"waitUs\":{retry_after}"),
        );
    }

    fn fail(&mut self, request: &str) {
        self.append("Fail", format_args!(",\"req\":{}", json_string(request)));
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
        let endpoint = json_string(endpoint);
        self.append("Probe", format_args!(",\"upstream\":{endpoint}"));
    }

    fn close_idle_connections(&mut self, endpoint: &str) {
        let endpoint = json_string(endpoint);
        self.append("Close", format_args!(",\"upstream\":{endpoint}"));
    }

    fn send_gossip(&mut self, balancer: Option<usize>, message: &str) {
        let target = balancer.map_or(Value::from("all"), Value::from);
        let message = json_string(message);
        self.append(
            "Publish",
            format_args!(",\"target\":{target},\"contents\":{message}"),
        );
    }
}
