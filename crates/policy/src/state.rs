//! The parts of a balancer's state. Each module changes only its own state; the modules in
//! `decisions` combine them.

pub(crate) mod admission;
pub(crate) mod class_latency;
pub(crate) mod decaying;
pub(crate) mod endpoint;
pub(crate) mod endpoint_table;
pub(crate) mod fleet_statistics;
pub(crate) mod idle_drops;
pub(crate) mod key_queue;
pub(crate) mod load_ledger;
pub(crate) mod load_polls;
pub(crate) mod outliers;
pub(crate) mod request;
pub(crate) mod request_queue;
pub(crate) mod slow_start_budget;
pub(crate) mod subset;
pub(crate) mod timers;
