//! Requests that clients sent recently, in which servers look up the work of an attempt.

use std::collections::{HashMap, VecDeque};

use pinefront_model::Micros;
use pinefront_model::scenario::Scenario;
use pinefront_model::traffic::Request;

/// Time that a request is retained after its timeout, in microseconds.
const RETENTION_US: Micros = 15_000_000;

/// The result of looking up the request of an attempt.
pub struct RequestLookup {
    /// The number of the request; none where no client of the testbed sent it.
    pub number: Option<u64>,
    /// The request that was sent, or a default request.
    pub request: Request,
}

/// The time after which a request is removed.
struct Expiry {
    at: Micros,
    number: u64,
}

/// Requests by number, with their expiry times in the order in which they were sent.
#[derive(Default)]
pub(super) struct SentRequests {
    requests: HashMap<u64, Request>,
    expiries: VecDeque<Expiry>,
}

impl SentRequests {
    /// Adds a request, and removes expired requests.
    pub(super) fn add(&mut self, now: Micros, request: &Request) {
        while let Some(expired) = self.expiries.pop_front_if(|expiry| expiry.at < now) {
            self.requests.remove(&expired.number);
        }
        self.requests.insert(request.number, request.clone());
        self.expiries.push_back(Expiry {
            at: now + request.timeout + RETENTION_US,
            number: request.number,
        });
    }

    /// The request with an identifier; otherwise a default request of the class that the path
    /// names; none if that class does not exist.
    pub(super) fn find(&self, scenario: &Scenario, id: &str, path: &str) -> Option<RequestLookup> {
        let number = u64::from_str_radix(id, 16).ok();
        let sent = number.and_then(|number| self.requests.get(&number));
        if let Some(request) = sent {
            let request = request.clone();
            return Some(RequestLookup { number, request });
        }
        let request = default_request(scenario, path)?;
        Some(RequestLookup {
            number: None,
            request,
        })
    }
}

/// A request with the settings of the class that is the first segment of the path.
fn default_request(scenario: &Scenario, path: &str) -> Option<Request> {
    let path = path.trim_start_matches('/');
    let name = path.split(['/', '?']).next().unwrap_or("");
    let mut classes = scenario.classes.iter();
    let class = classes.position(|class| class.get_ref().name == name)?;
    let settings = scenario.classes[class].get_ref();
    Some(Request {
        attempt: 1,
        class,
        work: settings.work.0 as f64,
        off_core_time: settings.off_core_time.0,
        timeout: settings.deadline.0,
        ..Request::default()
    })
}
