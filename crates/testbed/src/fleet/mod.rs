//! The rig for several real balancers: a relay on each way between two of them, their views of one another taken down
//! and judged against the truth, and days drawn from a seed.

pub mod drawn;
pub mod leases;
pub mod relays;
pub mod simulated_members;
pub mod views;

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};

use pinefront_model::scenario::Scenario;
use serde::Serialize;

use crate::fleet::leases::LeaseReport;

/// What was found of the balancers' knowledge of each other.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Known {
    /// From the last fault's end until all views were right, and stayed so; none where they never were.
    pub views_agree_after_ms: Option<f64>,
    /// Times that a balancer that served was taken for proven gone, or not counted among those that may serve.
    pub wrongly_gone: u64,
    /// From each death or stall to each other balancer's holding it for gone.
    pub detected_ms: Vec<f64>,
    /// From each death or stall until all others that ran held it for gone.
    pub detected_by_all_ms: Vec<f64>,
    /// Times that a balancer had to say that it is there: it was doubted wrongly, or had been stopped.
    #[serde(rename = "refuted")]
    pub refutations: u64,
    /// Balancers that ran, were not stopped and were held for gone all the same, each once.
    pub held_gone_while_running: u64,
    pub looks: u64,
    pub relayed: u64,
    pub relay_lost: u64,
    /// Datagrams that strangers sent.
    pub flooded: u64,
    /// Calls that discovery took, of all balancers, and for how long the day was.
    pub discovery_calls: u64,
    pub discovery_calls_a_second: f64,
    #[serde(rename = "why")]
    pub details: Vec<String>,
    /// Who held which duty, where the day has any.
    #[serde(rename = "duties")]
    pub leases: Option<LeaseReport>,
}

/// Members that vote: the first, which are seeds too.
const VOTERS: usize = 3;

fn leases(day: &Scenario) -> String {
    if day.duties == 0 && !day.shared_endpoint_list {
        return String::new();
    }
    let zones = if day.shared_endpoint_list {
        day.fleet.zones.as_slice()
    } else {
        &[]
    };
    let zones: Vec<_> = zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    let voters: Vec<_> = (0..VOTERS).map(|voter| format!("\"b{voter}\"")).collect();
    let own: Vec<_> = (0..day.duties)
        .map(|number| format!("\"job-{number}\""))
        .collect();
    format!(
        "[duties]\nvoters = [{}]\nown = [{}]\nroster = [{}]\n",
        voters.join(", "),
        own.join(", "),
        zones.join(", ")
    )
}

/// Addresses where balancers hear one another, and where each sends to reach another past a relay.
pub struct Addresses {
    pub heard_at: Vec<SocketAddr>,
    /// By sender, then by receiver.
    pub via: Vec<BTreeMap<SocketAddr, SocketAddr>>,
    pub sockets: Vec<(usize, usize, std::net::UdpSocket)>,
}

/// The first so many are in every file.
const SEEDS: usize = 3;

/// An address of this process's own: between being let go here and taken by a balancer a port of 127.0.0.1 may go to
/// anybody who asks for any.
pub fn own_address() -> std::net::Ipv4Addr {
    let id = std::process::id();
    std::net::Ipv4Addr::new(127, 1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8, 1)
}

impl Addresses {
    pub fn new(balancers: usize) -> std::io::Result<Self> {
        let own = own_address();
        let free =
            || UdpSocket::bind((own, 0)).and_then(|socket| Ok((socket.local_addr()?, socket)));
        // Held together, so that none is given twice; let go for the balancers to take.
        let held: Vec<_> = (0..balancers).map(|_| free()).collect::<Result<_, _>>()?;
        let heard_at: Vec<SocketAddr> = held.iter().map(|one| one.0).collect();
        let (mut via, mut sockets) = (vec![BTreeMap::new(); balancers], Vec::new());
        for (from, via) in via.iter_mut().enumerate() {
            for to in (0..balancers).filter(|to| *to != from) {
                let (address, socket) = free()?;
                socket.set_nonblocking(true)?;
                via.insert(heard_at[to], address);
                sockets.push((from, to, socket));
            }
        }
        Ok(Self {
            heard_at,
            via,
            sockets,
        })
    }

    /// Writes the operator file of one balancer at the fleet address of that place.
    pub fn operator_file(
        &self,
        day: &Scenario,
        number: usize,
        place: usize,
        folder: &Path,
    ) -> std::io::Result<PathBuf> {
        // One for each, all the same: another balancer may be reading its own meanwhile.
        let key = folder.join(format!("b{number}.key"));
        std::fs::write(&key, "a key for the lab's own fleet\n")?;
        let seeds: Vec<_> = self
            .heard_at
            .iter()
            .take(SEEDS)
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let via: Vec<_> = self.via[place]
            .iter()
            .map(|(to, via)| format!("\"{to}\" = \"{via}\"\n"))
            .collect();
        let text = format!(
            "[fleet]\nname = \"lab\"\nkey_file = \"{}\"\nlisten = \"{}\"\nseeds = [{}]\nzone = \"{}\"\n[fleet.via]\n{}",
            key.display(),
            self.heard_at[place],
            seeds.join(", "),
            day.fleet.zones[number % day.fleet.zones.len()],
            via.concat()
        ) + &leases(day);
        let path = folder.join(format!("b{number}-at-{place}.toml"));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}
