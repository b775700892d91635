//! The balancer's part in its fleet: the cluster member on a UDP socket, the operator file that
//! configures it, its pages and log lines, and the shared endpoint list. It knows nothing of the
//! rest of the balancer.

mod event_log;
mod lease_status;
pub mod node;
pub mod operator_file;
mod pages;
mod shared_lists;
pub mod view_command;
