//! Requests that clients sent recently, so that servers know the work of an attempt.

use std::collections::{HashMap, VecDeque};

use pinefront_model::Micros;
use pinefront_model::scenario::Scenario;
use pinefront_model::traffic::Request;

/// How long after its timeout a request is retained.
const RETENTION_US: Micros = 15_000_000;

/// A request as a server finds it.
pub struct FoundRequest {
    /// Its number; none where the testbed's clients did not send it.
    pub number: Option<u64>,
    /// What it is.
    pub request: Request,
}

/// When a request is removed.
struct Expiry {
    at: Micros,
    number: u64,
}

/// Requests by number.
#[derive(Default)]
pub(super) struct SentRequests {
    requests: HashMap<u64, Request>,
    expiries: VecDeque<Expiry>,
}

impl SentRequests {
    /// Adds a request, and removes expired ones.
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

    /// The request with an identity; otherwise a usual request of the path's class, if there is
    /// such a class.
    pub(super) fn find(&self, scenario: &Scenario, id: &str, path: &str) -> Option<FoundRequest> {
        let number = u64::from_str_radix(id, 16).ok();
        let sent = number.and_then(|number| self.requests.get(&number));
        if let Some(request) = sent {
            let request = request.clone();
            return Some(FoundRequest { number, request });
        }
        let request = usual_request(scenario, path)?;
        Some(FoundRequest {
            number: None,
            request,
        })
    }
}

fn usual_request(scenario: &Scenario, path: &str) -> Option<Request> {
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
