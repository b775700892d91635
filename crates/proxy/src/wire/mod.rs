//! What is spoken: HTTP/1.1 with clients, upstreams and discovery, datagrams with other balancers.

pub mod accepting;
pub mod answers;
pub mod clients;
pub mod discovery;
pub mod hands;
pub mod heads;
pub mod peers;
pub mod sending;
pub mod starts;
pub mod tickets;
pub mod upstreams;
