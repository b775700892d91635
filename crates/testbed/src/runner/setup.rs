//! Start of the balancers of a run, with their discovery, links and operator files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use super::Subject;
use crate::balancers::{Balancer, BalancerSetup, wait_until_ready};
use crate::environment::TemporaryFolder;
use crate::error::{Context, Error};
use crate::fleet::leases::LeaseLog;
use crate::fleet::relays::{RelayState, start_flood, start_relay};
use crate::fleet::{Addresses, RelaySocket};
use crate::system_faults::PreloadedLibrary;
use crate::world::{World, locked};
use crate::{baseline, discovery_stand_in, server_stand_in};

/// The balancers of a run.
pub(super) struct BalancerGroup {
    /// The processes; empty where stand-in balancers run.
    pub(super) processes: Arc<Mutex<Vec<Balancer>>>,
    pub(super) addresses: Vec<SocketAddr>,
    /// The cluster addresses, where the balancers form a cluster.
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
        let folder = TemporaryFolder::new().context("cannot make a folder for this run")?;
        let count = *world.scenario.balancers.get_ref();
        let cluster = is_cluster
            .then(|| Addresses::new(count).context("no addresses"))
            .transpose()?;
        let preloaded = PreloadedLibrary::is_needed(&world.scenario)
            .then(|| PreloadedLibrary::build(folder.path()).context("no library"))
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

    /// Starts a relay on each link between two balancers, and the senders of floods.
    fn start_relays(&mut self, world: &Arc<World>) -> Result<(), Error> {
        let Some(cluster) = &mut self.cluster else {
            return Ok(());
        };
        for RelaySocket { from, to, socket } in std::mem::take(&mut cluster.relay_sockets) {
            let address = cluster.members.get(to).copied();
            let address = address.ok_or_else(|| Error::new("no such balancer"))?;
            start_relay(world, from, to, socket, address, &self.relayed)
                .context("cannot relay between balancers")?;
        }
        start_flood(world, &cluster.members, &self.relayed).context("no strangers")
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
                .context("cannot start a stand-in balancer")?,
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
        let mut balancer =
            Balancer::new(&setup).context(format!("cannot set up balancer {number}"))?;
        balancer.lease_log = self.lease_log.clone();
        balancer.preloaded.clone_from(&self.preloaded);
        world.set_balancer_running(number, true);
        balancer.start().context("cannot start a balancer")?;
        let address = balancer.address;
        locked(&self.processes).push(balancer);
        Ok(address)
    }

    /// Writes the operator file of a balancer at the cluster address of `address_of`, where there
    /// is a cluster.
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
            .context("no operator file")
    }
}

async fn start_discovery(world: &Arc<World>, number: usize) -> Result<SocketAddr, Error> {
    let address = discovery_stand_in::start(world, number).await;
    address.context("cannot start discovery")
}
