//! What is spoken: HTTP/1.1 with clients, upstreams and discovery.

pub mod clients;
pub mod discovery;
pub mod heads;
pub mod upstreams;
