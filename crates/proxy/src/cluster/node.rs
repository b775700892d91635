//! The cluster member of this balancer on a UDP socket of the event loop.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use pinefront_cluster::datagram::MAX_DATAGRAM_BYTES;
use pinefront_cluster::leases::LeaseEvent;
use pinefront_cluster::{Cluster, Micros, OutgoingDatagram};
use rustix::time::{ClockId, clock_gettime};
use slog::{Logger, info};

use super::operator_file::FleetSettings;
use super::shared_lists::SharedLists;

#[cfg(test)]
mod tests;

/// The largest number of datagrams received in one loop iteration, so that a flood of datagrams
/// does not delay requests.
const MAX_DATAGRAMS_PER_ITERATION: usize = 128;

/// The time in microseconds of a clock that is never set, and that advances while the process is
/// stopped or the machine is suspended, too.
pub fn now() -> Micros {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Micros * 1_000_000 + now.tv_nsec as Micros / 1_000
}

/// The reason why the UDP socket of the fleet cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The socket cannot be bound.
    #[error("cannot bind the fleet socket to fleet.listen {address}: {source}")]
    Bind {
        /// The address in the operator file.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The socket cannot be registered with the event loop.
    #[error("cannot register the fleet socket with the event loop: {0}")]
    Watch(String),
}

/// This balancer as a member of its fleet.
pub struct ClusterNode {
    /// The state of the cluster member.
    pub cluster: Cluster,
    /// The settings from the operator file.
    pub settings: FleetSettings,
    /// The shared endpoint lists.
    pub shared_lists: SharedLists,
    socket: Rc<UdpSocket>,
    pub(super) log: Logger,
    /// The number of datagrams that the socket did not accept.
    pub(super) send_failures: u64,
}

impl ClusterNode {
    /// Binds the socket, which stays bound until the process ends. Other members therefore conclude
    /// that this process has ended when another process uses its address.
    pub fn open<D: 'static>(
        handle: &LoopHandle<'static, D>,
        mut settings: FleetSettings,
        seed: u64,
        log: &Logger,
    ) -> Result<Rc<RefCell<Self>>, OpenError> {
        let socket = bind(settings.listen)?;
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        settings.member.started_at_us = since_epoch.as_micros() as u64;
        let cluster = new_cluster(&settings, seed);
        info!(log, "joined the fleet"; "fleet" => &settings.member.fleet,
            "member" => &settings.member.name, "address" => %settings.member.address,
            "seeds" => settings.member.seeds.len());
        let shared_lists =
            SharedLists::new(settings.shared_list_zones.clone(), &settings.member.zone);
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let node = Rc::new(RefCell::new(Self {
            cluster,
            settings,
            shared_lists,
            socket,
            log: log.clone(),
            send_failures: 0,
        }));
        let receiver = Rc::clone(&node);
        handle
            .insert_source(source, move |_, _, _| {
                receiver.borrow_mut().receive();
                Ok(PostAction::Continue)
            })
            .map_err(|error| OpenError::Watch(error.to_string()))?;
        Ok(node)
    }

    /// Receives the datagrams that have arrived.
    fn receive(&mut self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, _)) => self.cluster.receive(now(), &bytes[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The error reports that a datagram sent earlier was refused. The next call may
                // return a datagram.
                Err(_) => {}
            }
        }
        self.process_output();
    }

    /// How long the event loop may wait for the next timer.
    pub fn time_to_next_timer(&self) -> Micros {
        self.cluster
            .next_timer()
            .min(self.shared_lists.next_timer())
            .saturating_sub(now())
    }

    /// Runs the timers that have expired.
    pub fn run_timers(&mut self) {
        let now = now();
        if self.cluster.next_timer() <= now {
            self.cluster.run_timers(now);
            self.process_output();
        }
        if self.shared_lists.next_timer() <= now {
            self.shared_lists.send_heartbeat(now, &mut self.cluster);
            self.process_output();
        }
    }

    /// Publishes a list that this balancer polled from discovery itself.
    pub fn publish_list(&mut self, list: &serde_json::Value) {
        self.shared_lists.publish(now(), &mut self.cluster, list);
        self.process_output();
    }

    /// Records that a poll of discovery failed, after which the published list counts as
    /// unconfirmed.
    pub fn record_poll_failure(&mut self) {
        self.shared_lists.record_poll_failure();
        self.process_output();
    }

    /// How long discovery need not be polled, since another member publishes its list; `None` if it
    /// must be polled.
    pub fn list_fresh_for(&self) -> Option<Micros> {
        let now = now();
        self.shared_lists
            .fresh_until(now)
            .map(|until| until.saturating_sub(now))
    }

    /// Announces that this balancer has stopped serving.
    pub fn leave(&mut self) {
        self.cluster.leave(now());
        self.process_output();
    }

    /// Applies a reloaded operator file. Returns the changed fields that take effect only after a
    /// restart.
    pub fn reload(&mut self, new: FleetSettings) -> Vec<&'static str> {
        let unapplied = fields_needing_restart(&self.settings, &new);
        self.cluster.update_config(&new.member, new.key.clone());
        match &new.leases {
            Some(leases) => {
                self.cluster
                    .configure_leases(now(), leases.config.clone(), leases.leases.clone());
            }
            None => self.cluster.disable_leases(now()),
        }
        self.settings.address_overrides = new.address_overrides;
        self.settings.leases = new.leases;
        if self.settings.shared_list_zones != new.shared_list_zones {
            let zone = &self.settings.member.zone;
            self.shared_lists = SharedLists::new(new.shared_list_zones.clone(), zone);
            self.settings.shared_list_zones = new.shared_list_zones;
        }
        unapplied
    }

    /// Sends the datagrams of the cluster member, and logs and handles its events.
    fn process_output(&mut self) {
        for OutgoingDatagram { to, bytes } in self.cluster.take_datagrams() {
            let to = self
                .settings
                .address_overrides
                .get(&to)
                .copied()
                .unwrap_or(to);
            // The protocol tolerates the loss of datagrams, in a full socket buffer as well as in
            // the network.
            if self.socket.send_to(&bytes, to).is_err() {
                self.send_failures += 1;
            }
        }
        for event in self.cluster.take_events() {
            self.log_membership_event(&event);
        }
        let events = self.cluster.take_lease_events();
        for event in &events {
            self.log_lease_event(event);
        }
        if !events.is_empty() {
            self.handle_lease_events(&events);
            self.process_output();
        }
    }

    /// Passes lease events to the shared lists.
    fn handle_lease_events(&mut self, events: &[LeaseEvent]) {
        let now = now();
        self.shared_lists.update_role(now, &self.cluster);
        for event in events {
            match event {
                LeaseEvent::CommandReceived {
                    from,
                    lease,
                    term,
                    body,
                } if self.shared_lists.has_lease(*lease) => {
                    let request = self.shared_lists.receive(now, *lease, *term, body);
                    if let Some(body) = request.and_then(|request| request.encode()) {
                        self.cluster.send_lease_note(now, *lease, from, body);
                    }
                }
                LeaseEvent::NoteReceived { from, lease, body } => {
                    self.shared_lists
                        .answer(now, &mut self.cluster, *lease, from, body);
                }
                _ => {}
            }
        }
    }
}

fn bind(address: SocketAddr) -> Result<Rc<UdpSocket>, OpenError> {
    UdpSocket::bind(address)
        .and_then(|socket| {
            socket.set_nonblocking(true)?;
            Ok(Rc::new(socket))
        })
        .map_err(|source| OpenError::Bind { address, source })
}

fn new_cluster(settings: &FleetSettings, seed: u64) -> Cluster {
    // Processes with the same configuration, and successive processes of one balancer, must make
    // different random choices.
    let process = u64::from(std::process::id()).rotate_left(32);
    let seed = seed ^ settings.member.started_at_us ^ process;
    let mut cluster = Cluster::new(settings.member.clone(), settings.key.clone(), seed, now());
    if let Some(leases) = &settings.leases {
        cluster.configure_leases(now(), leases.config.clone(), leases.leases.clone());
    }
    cluster
}

/// The fields that differ and cannot change while the process runs.
fn fields_needing_restart(old: &FleetSettings, new: &FleetSettings) -> Vec<&'static str> {
    [
        ("fleet.listen", old.listen != new.listen),
        ("fleet.advertise", old.member.address != new.member.address),
        ("fleet.name", old.member.fleet != new.member.fleet),
        ("fleet.member", old.member.name != new.member.name),
        ("fleet.zone", old.member.zone != new.member.zone),
    ]
    .into_iter()
    .filter(|(_, is_changed)| *is_changed)
    .map(|(field, _)| field)
    .collect()
}
