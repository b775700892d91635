//! The balancer as a member of its fleet: the cluster member on a UDP socket, the operator file
//! that configures it, its pages and log lines, and the shared endpoint list. These modules do not
//! depend on the rest of the balancer.

mod event_log;
mod lease_status;
pub mod node;
pub mod operator_file;
mod pages;
mod shared_lists;
pub mod view_command;
