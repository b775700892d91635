//! Addresses of the balancers of a fleet and of the relays between them, and their operator files.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};

use pinefront_model::scenario::Scenario;

/// How many members vote on leases; the first ones.
const VOTERS: usize = 3;
/// How many members are seeds; the first ones.
const SEEDS: usize = 3;

/// The socket of the relay from one balancer to another.
pub struct RelaySocket {
    pub from: usize,
    pub to: usize,
    pub socket: UdpSocket,
}

/// The addresses at which balancers receive, and those of the relays that pass on what one sends to
/// another.
pub struct Addresses {
    pub members: Vec<SocketAddr>,
    /// By sender, the relay's address for each receiver's.
    via: Vec<BTreeMap<SocketAddr, SocketAddr>>,
    pub relay_sockets: Vec<RelaySocket>,
}

/// An address that only this process uses: a port of 127.0.0.1 that is released here could be given
/// to any other process before a balancer binds it.
pub fn own_address() -> Ipv4Addr {
    const NUMBERS: u32 = 250;
    let id = std::process::id();
    let [high, low] = [id / NUMBERS % NUMBERS, id % NUMBERS].map(|number| 1 + number as u8);
    Ipv4Addr::new(127, high, low, 1)
}

fn bind_free() -> io::Result<UdpSocket> {
    UdpSocket::bind((own_address(), 0))
}

impl Addresses {
    /// Chooses free addresses for so many balancers, and opens the sockets of the relays.
    pub fn new(balancers: usize) -> io::Result<Self> {
        // Bound together, so that none is given twice; released for the balancers to bind.
        let reserved: Vec<UdpSocket> = (0..balancers)
            .map(|_| bind_free())
            .collect::<io::Result<_>>()?;
        let members: Vec<SocketAddr> = reserved
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<_>>()?;
        let mut via = vec![BTreeMap::new(); balancers];
        let mut relay_sockets = Vec::new();
        for (from, via) in via.iter_mut().enumerate() {
            for to in (0..balancers).filter(|to| *to != from) {
                let socket = bind_free()?;
                socket.set_nonblocking(true)?;
                via.insert(members[to], socket.local_addr()?);
                relay_sockets.push(RelaySocket { from, to, socket });
            }
        }
        Ok(Self {
            members,
            via,
            relay_sockets,
        })
    }

    /// Writes the operator file of a balancer that uses the address with that index.
    pub fn operator_file(
        &self,
        scenario: &Scenario,
        number: usize,
        address_index: usize,
        folder: &Path,
    ) -> io::Result<PathBuf> {
        // A file for each balancer, since another may be reading its own meanwhile.
        let key = folder.join(format!("b{number}.key"));
        std::fs::write(&key, "a key for the lab's own fleet\n")?;
        let via: String = self.via[address_index]
            .iter()
            .map(|(to, via)| format!("\"{to}\" = \"{via}\"\n"))
            .collect();
        let zones = &scenario.fleet.zones;
        let text = format!(
            "[fleet]\nname = \"lab\"\nkey_file = \"{}\"\nlisten = \"{}\"\nseeds = [{}]\nzone = \"{}\"\n[fleet.via]\n{via}{}",
            key.display(),
            self.members[address_index],
            quoted(self.members.iter().take(SEEDS)),
            zones[number % zones.len()],
            lease_table(scenario),
        );
        let path = folder.join(format!("b{number}-at-{address_index}.toml"));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// The table `[duties]`, where the scenario has leases.
fn lease_table(scenario: &Scenario) -> String {
    if scenario.duties == 0 && !scenario.shared_endpoint_list {
        return String::new();
    }
    let zones = if scenario.shared_endpoint_list {
        scenario.fleet.zones.as_slice()
    } else {
        &[]
    };
    let voters = (0..VOTERS).map(|voter| format!("b{voter}"));
    let own = (0..scenario.duties).map(|number| format!("job-{number}"));
    format!(
        "[duties]\nvoters = [{}]\nown = [{}]\nroster = [{}]\n",
        quoted(voters),
        quoted(own),
        quoted(zones.iter())
    )
}

/// The values in quotes and separated by commas.
fn quoted(values: impl Iterator<Item = impl std::fmt::Display>) -> String {
    values
        .map(|value| format!("\"{value}\""))
        .collect::<Vec<_>>()
        .join(", ")
}
