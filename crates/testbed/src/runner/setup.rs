//! Starts the balancers of a run, with their discovery stand-ins, relays and operator files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use pinefront_model::scenario::{FaultKind, Scenario};

use super::Subject;
use crate::balancers::{Balancer, BalancerSetup, wait_until_ready};
use crate::environment::TemporaryFolder;
use crate::error::{Context, Error};
use crate::fleet::leases::LeaseLog;
use crate::fleet::relays::{RelayState, start_flood, start_relay};
use crate::fleet::{Addresses, RelaySocket};
use crate::overload::SMALLEST_LIMITS;
use crate::system_faults::PreloadedLibrary;
use crate::world::{World, locked};
use crate::{baseline, discovery_stand_in, server_stand_in};

/// The balancers of a run.
pub(super) struct BalancerGroup {
    /// The balancer processes; empty for stand-in balancers.
    pub(super) processes: Arc<Mutex<Vec<Balancer>>>,
    pub(super) addresses: Vec<SocketAddr>,
    /// The cluster addresses; none where the balancers form no cluster.
    cluster: Option<Addresses>,
    pub(super) relayed: Arc<RelayState>,
    pub(super) lease_log: LeaseLog,
    pub(super) folder: TemporaryFolder,
    preloaded: Option<PreloadedLibrary>,
}

/// Starts the stand-ins of all servers.
pub async fn start_servers(world: &Arc<World>) -> Result<(), Error> {
    for number in 0..world.servers().len() {
        server_stand_in::start(world, number, false)
            .await
            .context(format!("cannot start the stand-in of server {number}"))?;
    }
    Ok(())
}

impl BalancerGroup {
    /// Starts all balancers, and waits until they are ready.
    pub(super) async fn start(
        world: &Arc<World>,
        subject: &Subject,
        is_cluster: bool,
    ) -> Result<Self, Error> {
        let mut group = Self::new(world, is_cluster)?;
        group.start_relays(world)?;
        for number in 0..*world.scenario.balancers.get_ref() {
            group.start_balancer(world, subject, number).await?;
        }
        let count = locked(&group.processes).len();
        for number in 0..count {
            wait_until_ready(&group.processes, number).await?;
        }
        Ok(group)
    }

    fn new(world: &Arc<World>, is_cluster: bool) -> Result<Self, Error> {
        let folder =
            TemporaryFolder::new().context("cannot create a temporary folder for the run")?;
        let count = *world.scenario.balancers.get_ref();
        let cluster = is_cluster
            .then(|| Addresses::new(count).context("cannot bind cluster addresses"))
            .transpose()?;
        let preloaded = PreloadedLibrary::is_needed(&world.scenario)
            .then(|| {
                PreloadedLibrary::build(folder.path()).context("cannot build the preloaded library")
            })
            .transpose()?;
        if let Some(preloaded) = preloaded.clone() {
            tokio::spawn(preloaded.follow_timeline(Arc::clone(world)));
        }
        Ok(Self {
            processes: Arc::default(),
            addresses: Vec::new(),
            cluster,
            relayed: Arc::default(),
            lease_log: LeaseLog::default(),
            folder,
            preloaded,
        })
    }

    /// Starts a relay on each link between two balancers, and the sources of datagram floods.
    fn start_relays(&mut self, world: &Arc<World>) -> Result<(), Error> {
        let Some(cluster) = &mut self.cluster else {
            return Ok(());
        };
        for RelaySocket { from, to, socket } in std::mem::take(&mut cluster.relay_sockets) {
            let address = cluster.members.get(to).copied();
            let address = address.ok_or_else(|| {
                Error::new(format!(
                    "a relay leads to balancer {to}, which does not exist"
                ))
            })?;
            start_relay(world, from, to, socket, address, &self.relayed).context(format!(
                "cannot start the relay from balancer {from} to {to}"
            ))?;
        }
        start_flood(world, &cluster.members, &self.relayed)
            .context("cannot start the sources of datagram floods")
    }

    async fn start_balancer(
        &mut self,
        world: &Arc<World>,
        subject: &Subject,
        number: usize,
    ) -> Result<(), Error> {
        let discovery = [
            start_discovery(world, number).await?,
            start_discovery(world, number).await?,
        ];
        let address = match subject {
            Subject::Policy(policy) => baseline::start(world, *policy, number)
                .await
                .context(format!("cannot start stand-in balancer {number}"))?,
            Subject::Binary(binary) => self.start_process(world, binary, number, discovery)?,
        };
        self.addresses.push(address);
        Ok(())
    }

    fn start_process(
        &self,
        world: &World,
        binary: &Path,
        number: usize,
        discovery: [SocketAddr; 2],
    ) -> Result<SocketAddr, Error> {
        let setup = BalancerSetup {
            scenario: &world.scenario,
            seed: world.seed,
            number,
            binary,
            folder: self.folder.path(),
            discovery,
            operator_file: self.write_operator_file(world, number, number)?,
        };
        let mut balancer = Balancer::new(&setup).context(format!(
            "cannot write the configuration of balancer {number}"
        ))?;
        balancer.lease_log = self.lease_log.clone();
        balancer.preloaded.clone_from(&self.preloaded);
        if has_misbehaving_clients(&world.scenario) {
            balancer
                .set_limits(SMALLEST_LIMITS)
                .context(format!("cannot limit the memory of balancer {number}"))?;
        }
        world.set_balancer_running(number, true);
        balancer
            .start()
            .context(format!("cannot start balancer {number}"))?;
        let address = balancer.address;
        locked(&self.processes).push(balancer);
        Ok(address)
    }

    /// Writes the operator file of a balancer that uses the cluster address of `address_of`.
    /// Returns none where the balancers form no cluster.
    pub(super) fn write_operator_file(
        &self,
        world: &World,
        number: usize,
        address_of: usize,
    ) -> Result<Option<PathBuf>, Error> {
        let folder = self.folder.path();
        let cluster = self.cluster.as_ref();
        cluster
            .map(|cluster| cluster.operator_file(&world.scenario, number, address_of, folder))
            .transpose()
            .context(format!(
                "cannot write the operator file of balancer {number}"
            ))
    }
}

/// Whether clients of a scenario misbehave, so that the memory of its balancers is limited.
fn has_misbehaving_clients(scenario: &Scenario) -> bool {
    let mut faults = scenario.faults.iter();
    faults.any(|fault| fault.get_ref().kind == FaultKind::ClientsMisbehave)
}

async fn start_discovery(world: &Arc<World>, number: usize) -> Result<SocketAddr, Error> {
    let address = discovery_stand_in::start(world, number).await;
    address.context(format!("cannot start discovery for balancer {number}"))
}
