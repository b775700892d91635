//! HTTP/1.1 connections of clients and to endpoints, and what is exchanged on them.

pub mod accept;
pub mod client;
pub mod endpoint;
pub mod http_message;
pub mod request;
pub mod response;
pub mod send_guard;
