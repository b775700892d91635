//! The state of the proxy: connections, requests, endpoints, timers and counters. Events are
//! handled in other modules.

pub mod address_claims;
pub mod arrival_time;
pub mod buffers;
pub mod client_connection;
pub mod clock;
pub mod counters;
pub mod endpoint;
pub mod endpoint_connection;
pub mod finished_requests;
pub mod gossip_socket;
pub mod keys;
pub mod memory;
pub mod ordered_arrivals;
pub mod pace;
pub mod proxy;
pub mod request;
pub mod send_refusal;
pub mod socket;
pub mod timers;
