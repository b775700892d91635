//! The state of the connections to discovery and of the endpoint list.

use pinefront_policy::Micros;
use pinefront_settings::fields::{Decoded, whole};
use serde_json::Value;

use crate::discovery::schedule::{ConnectionId, Schedule};
use crate::state::buffers::{ReadBuffer, WriteBuffer};
use crate::state::socket::RegisteredSocket;
use crate::state::timers::TimerKey;

/// A connection to discovery, and what came on it of an answer.
pub struct Connection {
    pub id: ConnectionId,
    pub socket: RegisteredSocket,
    pub read_buffer: ReadBuffer,
    pub write_buffer: WriteBuffer,
    pub is_connected: bool,
    /// When the part of an answer that is here is to be looked at.
    pub look_at: Option<Micros>,
}

/// What is kept of discovery.
pub struct Discovery {
    pub connections: Vec<Connection>,
    pub schedule: Schedule,
    pub timer: Option<TimerKey>,
    /// The list that we were started with, until it is taken.
    pub held: Option<Value>,
    /// Whether that list was taken, and one of discovery's own.
    pub known: bool,
    pub taken: bool,
    /// When discovery last told a list, or that there is nothing new.
    pub listed_at: Micros,
    /// How far our wall clock is known to have been behind when the process began.
    pub clock_behind: Micros,
}

impl Discovery {
    pub fn new(seed: u64) -> Self {
        Self {
            connections: Vec::new(),
            schedule: Schedule::new(seed),
            timer: None,
            held: None,
            known: false,
            taken: false,
            listed_at: 0,
            clock_behind: 0,
        }
    }

    /// The list that we were started with. It may be old, so nothing is sent by it until discovery has told what changed
    /// since, or could not be asked.
    pub fn hold_known(&mut self, list: &Value) -> Decoded<()> {
        self.schedule.knows(whole(list, "rev")?);
        self.held = Some(list.clone());
        Ok(())
    }

    /// Whether there is a list to serve by: discovery's own, or the one we were started with where discovery
    /// could not be asked. That one may be old: what changed since may count as told already.
    pub fn stands(&self) -> bool {
        self.taken || (self.known && self.schedule.is_unheard())
    }

    /// The connection of that id.
    pub fn connection(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections
            .iter_mut()
            .find(|connection| connection.id == id)
    }

    /// When something is to be done next.
    pub fn deadline(&self) -> Option<Micros> {
        let looks = self
            .connections
            .iter()
            .filter_map(|connection| connection.look_at);
        looks.chain(self.schedule.deadline()).min()
    }
}
