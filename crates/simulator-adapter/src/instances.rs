//! The balancer instances of the simulator. They share no state apart from the reply that collects
//! their actions.

use std::collections::HashMap;

use pinefront_policy::{AttemptOutcome, Balancer, Micros};
use pinefront_settings::decode_settings;

use crate::actions::{Reply, SimulatorHost};
use crate::error::MessageError;
use crate::events::{EndpointState, Event, ListScope};

/// All running instances.
pub struct Instances {
    balancers: HashMap<u64, Balancer<SimulatorHost>>,
    reply: Reply,
}

impl Instances {
    /// Creates an empty set of instances that append their actions to `reply`.
    pub fn new(reply: Reply) -> Self {
        Self {
            balancers: HashMap::new(),
            reply,
        }
    }

    /// Passes an event to its instance. Events of unknown kinds and for unknown instances are
    /// ignored.
    pub fn handle(&mut self, now: Micros, event: &Event) -> Result<(), MessageError> {
        match event.kind {
            "Enlist" => self.start(now, event),
            "Killed" => {
                self.balancers.remove(&event.instance);
                Ok(())
            }
            _ => match self.balancers.get_mut(&event.instance) {
                Some(balancer) => pass_event(balancer, now, event),
                None => Ok(()),
            },
        }
    }

    fn start(&mut self, now: Micros, event: &Event) -> Result<(), MessageError> {
        let host = SimulatorHost::new(event.instance, self.reply.clone());
        let settings = decode_settings(event.settings()?)?;
        let balancer = Balancer::start(host, event.seed()?, settings, now);
        self.balancers.insert(event.instance, balancer);
        Ok(())
    }
}

/// Calls the method of the balancer that handles the event.
fn pass_event(
    balancer: &mut Balancer<SimulatorHost>,
    now: Micros,
    event: &Event,
) -> Result<(), MessageError> {
    match event.kind {
        "Sync" => update_endpoint_list(balancer, now, event)?,
        "Call" => balancer.request_arrived(now, event.arrival()?),
        "Ended" => {
            update_load(balancer, now, event)?;
            balancer.attempt_ended(now, event.request()?, event.attempt_end()?);
        }
        "FirstByte" => balancer.response_started(event.request()?),
        "Gone" => balancer.client_disconnected(now, event.request()?),
        "Elapsed" => balancer.timer_expired(now, event.timer()?),
        "CheckResult" => {
            update_load(balancer, now, event)?;
            let is_answered = event.outcome()? == AttemptOutcome::Succeeded;
            balancer.probe_completed(now, event.endpoint()?, is_answered);
        }
        "Datagram" => {
            let message = event.message()?;
            balancer.gossip_received(now, event.sender()?, message);
        }
        _ => {}
    }
    Ok(())
}

fn update_endpoint_list(
    balancer: &mut Balancer<SimulatorHost>,
    now: Micros,
    event: &Event,
) -> Result<(), MessageError> {
    let scope = event.list_scope()?;
    if scope == ListScope::Failed {
        balancer.endpoint_list_failed();
        return Ok(());
    }
    balancer.endpoint_list_started(now, scope == ListScope::Complete);
    for entry in event.endpoints()? {
        match entry.state()? {
            EndpointState::Listed(endpoint) => balancer.endpoint_listed(endpoint),
            EndpointState::Draining(id) => balancer.endpoint_draining(id),
            EndpointState::Removed(id) => balancer.endpoint_removed(now, id),
        }
    }
    balancer.endpoint_list_ended(now);
    Ok(())
}

fn update_load(
    balancer: &mut Balancer<SimulatorHost>,
    now: Micros,
    event: &Event,
) -> Result<(), MessageError> {
    if let Some(reported) = event.reported_load()? {
        balancer.load_reported(now, reported.endpoint, reported.load);
    }
    Ok(())
}
