//! Carries the accord between balancers: its datagrams by UDP, its deadlines, its events to the log, its view to whoever
//! asks. It knows nothing of the rest of the balancer: what it needs comes as arguments.

pub mod carrier;
pub mod operator;
pub mod page;
pub mod shared_list;
pub mod show;
