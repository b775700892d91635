//! Addresses of the balancers of a fleet and of the relays between them, and the operator files of
//! the balancers.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};

use pinefront_model::scenario::Scenario;

/// The number of members that vote on leases, which are the first members.
const VOTERS: usize = 3;
/// The number of members that are seeds, which are the first members.
const SEEDS: usize = 3;

/// The socket of the relay on the link from one balancer to another.
pub struct RelaySocket {
    pub from: usize,
    pub to: usize,
    pub socket: UdpSocket,
}

/// The addresses of the balancers, and the relays that forward datagrams between them.
pub struct Addresses {
    /// The address at which each balancer receives datagrams.
    pub members: Vec<SocketAddr>,
    /// For each sender, the address of the relay for each address of a receiver.
    relay_addresses: Vec<BTreeMap<SocketAddr, SocketAddr>>,
    /// The sockets of all relays.
    pub relay_sockets: Vec<RelaySocket>,
}

/// Returns a loopback address that only this process uses. On 127.0.0.1, a port that is released
/// for a balancer could be assigned to another process before the balancer binds it.
pub fn process_loopback_address() -> Ipv4Addr {
    const NUMBERS: u32 = 250;
    let id = std::process::id();
    let [high, low] = [id / NUMBERS % NUMBERS, id % NUMBERS].map(|number| 1 + number as u8);
    Ipv4Addr::new(127, high, low, 1)
}

/// Binds a socket to a free port.
fn bind_free_port() -> io::Result<UdpSocket> {
    UdpSocket::bind((process_loopback_address(), 0))
}

impl Addresses {
    /// Chooses free addresses for the given number of balancers, and opens the sockets of the
    /// relays.
    pub fn new(balancers: usize) -> io::Result<Self> {
        // All sockets are bound at the same time, so that no port is assigned twice. They are then
        // closed so that the balancers can bind the ports.
        let reserved: Vec<UdpSocket> = (0..balancers)
            .map(|_| bind_free_port())
            .collect::<io::Result<_>>()?;
        let members: Vec<SocketAddr> = reserved
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<_>>()?;
        let mut relay_addresses = vec![BTreeMap::new(); balancers];
        let mut relay_sockets = Vec::new();
        for (from, relay_by_receiver) in relay_addresses.iter_mut().enumerate() {
            for to in (0..balancers).filter(|to| *to != from) {
                let socket = bind_free_port()?;
                socket.set_nonblocking(true)?;
                relay_by_receiver.insert(members[to], socket.local_addr()?);
                relay_sockets.push(RelaySocket { from, to, socket });
            }
        }
        Ok(Self {
            members,
            relay_addresses,
            relay_sockets,
        })
    }

    /// Writes the operator file of the balancer `number`, which receives at the address with index
    /// `address_index`, and returns the path of the file.
    pub fn operator_file(
        &self,
        scenario: &Scenario,
        number: usize,
        address_index: usize,
        folder: &Path,
    ) -> io::Result<PathBuf> {
        // Each balancer has its own key file, since another balancer may be reading its file while
        // this one is written.
        let key = folder.join(format!("b{number}.key"));
        std::fs::write(&key, "a key for the lab's own fleet\n")?;
        let via_entries: String = self.relay_addresses[address_index]
            .iter()
            .map(|(to, relay)| format!("\"{to}\" = \"{relay}\"\n"))
            .collect();
        let zones = &scenario.fleet.zones;
        let text = format!(
            "[fleet]\nname = \"lab\"\nkey_file = \"{}\"\nlisten = \"{}\"\nseeds = [{}]\n\
             zone = \"{}\"\n[fleet.via]\n{via_entries}{}",
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

/// Returns the table `[duties]`, or an empty text if the scenario has no leases.
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

/// Returns the values in double quotes, separated by commas.
fn quoted(values: impl Iterator<Item = impl std::fmt::Display>) -> String {
    values
        .map(|value| format!("\"{value}\""))
        .collect::<Vec<_>>()
        .join(", ")
}
