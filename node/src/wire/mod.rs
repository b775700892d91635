//! What is spoken: HTTP/1.1 with clients, upstreams and discovery.

pub mod accepting;
pub mod answers;
pub mod clients;
pub mod discovery;
pub mod hands;
pub mod heads;
pub mod tickets;
pub mod upstreams;
