//! Decodes the events of the simulator. Only this module, `actions.rs` and the event kinds in
//! `instances.rs` contain names of the simulator's wire format.

use std::borrow::Cow;

use pinefront_policy::{
    AttemptEnd, AttemptOutcome, ListedEndpoint, LoadReport, Micros, RequestArrival,
};
use pinefront_settings::fields::FieldError;
use serde::Deserialize;
use serde_json::Value;

/// Bit of `state_bits` that is set if the work hint is valid.
const WORK_HINT_VALID_BIT: u64 = 1;

/// The events that occur at the same time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "tUs")]
    pub now: Micros,
    #[serde(borrow, rename = "msgs")]
    pub events: Vec<Event<'a>>,
}

/// An event for an instance. Each kind of event has a different subset of the fields.
#[derive(Deserialize)]
pub struct Event<'a> {
    #[serde(rename = "t")]
    pub kind: &'a str,
    #[serde(rename = "i")]
    pub instance: u64,
    #[serde(rename = "nonce64")]
    seed: Option<u64>,
    #[serde(rename = "conf")]
    settings: Option<Value>,
    scope: Option<&'a str>,
    #[serde(borrow, rename = "membersList")]
    endpoints: Option<Vec<EndpointEntry<'a>>>,
    #[serde(rename = "req")]
    request: Option<&'a str>,
    #[serde(rename = "qos")]
    class: Option<usize>,
    #[serde(rename = "clientGroup")]
    tenant: Option<usize>,
    #[serde(rename = "targetKey")]
    key: Option<u64>,
    #[serde(rename = "deadlineUs")]
    deadline: Option<Micros>,
    #[serde(rename = "hintUs")]
    work_hint: Option<Micros>,
    #[serde(rename = "stateBits")]
    state_bits: Option<u64>,
    #[serde(rename = "settled")]
    answered: Option<bool>,
    #[serde(rename = "upstream")]
    endpoint: Option<&'a str>,
    #[serde(rename = "trial")]
    attempt: Option<usize>,
    #[serde(rename = "delaySeenUs")]
    elapsed: Option<Micros>,
    #[serde(rename = "how")]
    outcome: Option<&'a str>,
    #[serde(rename = "serverStats")]
    load: Option<EndpointLoad>,
    #[serde(rename = "keyBack")]
    timer: Option<u64>,
    #[serde(rename = "author")]
    sender: Option<usize>,
    #[serde(rename = "contents")]
    message: Option<Cow<'a, str>>,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
pub struct EndpointEntry<'a> {
    #[serde(rename = "upstream")]
    id: &'a str,
    phase: &'a str,
    #[serde(rename = "site")]
    zone: Option<u64>,
    #[serde(rename = "generationHw")]
    machine_type: Option<u64>,
    #[serde(rename = "group")]
    cell: Option<u64>,
    weight: Option<f64>,
    #[serde(rename = "launchedUs")]
    started_at: Option<Micros>,
}

/// The load that an endpoint reports.
#[derive(Deserialize)]
struct EndpointLoad {
    #[serde(rename = "busy")]
    utilisation: Option<f64>,
    #[serde(rename = "q")]
    queue: Option<f64>,
    #[serde(rename = "rif")]
    in_flight: Option<f64>,
}

/// The part of the endpoint list that an event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints.
    Complete,
    /// Only the endpoints that have changed.
    Changes,
    /// No endpoints, because the poll of the list failed.
    Failed,
}

/// The state of an endpoint in the endpoint list.
pub enum EndpointState<'a> {
    Listed(ListedEndpoint<'a>),
    Draining(&'a str),
    Removed(&'a str),
}

/// A load report and the endpoint that sent it.
pub struct ReportedLoad<'a> {
    pub endpoint: &'a str,
    pub load: LoadReport,
}

fn required<T>(field: Option<T>, name: &str) -> Result<T, FieldError> {
    field.ok_or_else(|| FieldError::missing(name))
}

impl<'a> Event<'a> {
    pub fn seed(&self) -> Result<u64, FieldError> {
        required(self.seed, "nonce64")
    }

    pub fn settings(&self) -> Result<&Value, FieldError> {
        required(self.settings.as_ref(), "conf")
    }

    pub fn list_scope(&self) -> Result<ListScope, FieldError> {
        match required(self.scope, "scope")? {
            "failed" => Ok(ListScope::Failed),
            "delta" => Ok(ListScope::Changes),
            "full" | "cached" => Ok(ListScope::Complete),
            other => Err(FieldError::unknown("scope", other)),
        }
    }

    pub fn endpoints(&self) -> Result<&[EndpointEntry<'a>], FieldError> {
        required(self.endpoints.as_deref(), "membersList")
    }

    pub fn request(&self) -> Result<&'a str, FieldError> {
        required(self.request, "req")
    }

    pub fn arrival(&self) -> Result<RequestArrival<'a>, FieldError> {
        let is_hint_valid = self.state_bits.unwrap_or(0) & WORK_HINT_VALID_BIT != 0;
        Ok(RequestArrival {
            id: self.request()?,
            class: required(self.class, "qos")?,
            tenant: self.tenant.unwrap_or(0),
            deadline: required(self.deadline, "deadlineUs")?,
            work_hint: self.work_hint.filter(|_| is_hint_valid),
            key: self.key,
        })
    }

    pub fn attempt_end(&self) -> Result<AttemptEnd, FieldError> {
        Ok(AttemptEnd {
            number: required(self.attempt, "trial")?,
            is_final: self.answered.unwrap_or(false),
            outcome: self.outcome()?,
            elapsed: required(self.elapsed, "delaySeenUs")?,
        })
    }

    pub fn outcome(&self) -> Result<AttemptOutcome, FieldError> {
        match required(self.outcome, "how")? {
            "pass" => Ok(AttemptOutcome::Succeeded),
            "fault" => Ok(AttemptOutcome::Failed),
            "no_room" => Ok(AttemptOutcome::Rejected),
            "too_slow" => Ok(AttemptOutcome::TimedOut),
            "no_route" => Ok(AttemptOutcome::Unreachable),
            "cut" => Ok(AttemptOutcome::ConnectionLost),
            "undone" => Ok(AttemptOutcome::Cancelled),
            "stale_send" => Ok(AttemptOutcome::NotSent),
            other => Err(FieldError::unknown("how", other)),
        }
    }

    pub fn endpoint(&self) -> Result<&'a str, FieldError> {
        required(self.endpoint, "upstream")
    }

    /// The load report that the event contains, if any.
    pub fn reported_load(&self) -> Result<Option<ReportedLoad<'a>>, FieldError> {
        let Some(load) = &self.load else {
            return Ok(None);
        };
        Ok(Some(ReportedLoad {
            endpoint: self.endpoint()?,
            load: LoadReport {
                utilisation: load.utilisation,
                queue: load.queue,
                in_flight: load.in_flight,
            },
        }))
    }

    pub fn timer(&self) -> Result<u64, FieldError> {
        required(self.timer, "keyBack")
    }

    pub fn message(&self) -> Result<&str, FieldError> {
        required(self.message.as_deref(), "contents")
    }

    pub fn sender(&self) -> Result<usize, FieldError> {
        required(self.sender, "author")
    }
}

impl<'a> EndpointEntry<'a> {
    pub fn state(&self) -> Result<EndpointState<'a>, FieldError> {
        match self.phase {
            "IN" => Ok(EndpointState::Listed(ListedEndpoint {
                id: self.id,
                zone: required(self.zone, "site")?,
                machine_type: required(self.machine_type, "generationHw")?,
                cell: required(self.cell, "group")?,
                weight: required(self.weight, "weight")?,
                started_at: self.started_at.unwrap_or(0),
            })),
            "LAME" => Ok(EndpointState::Draining(self.id)),
            "OUT" => Ok(EndpointState::Removed(self.id)),
            other => Err(FieldError::unknown("phase", other)),
        }
    }
}
