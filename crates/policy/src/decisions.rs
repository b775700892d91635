//! The decisions of a balancer, one module for each concern.

pub(crate) mod admission;
pub(crate) mod attempt_end;
pub(crate) mod concurrency;
pub(crate) mod endpoint_list;
pub(crate) mod features;
pub(crate) mod gossip;
pub(crate) mod key_order;
pub(crate) mod latency;
pub(crate) mod load_probing;
pub(crate) mod outliers;
pub(crate) mod placement;
pub(crate) mod queueing;
pub(crate) mod retry;
pub(crate) mod slow_start;
pub(crate) mod subset;
