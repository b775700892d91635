//! HTTP/1.1 connections with clients and endpoints, and the messages exchanged on them.

pub mod accept;
pub mod attempt;
pub mod chunk_decoder;
pub mod client;
pub mod client_lifetime;
pub mod client_response;
pub mod endpoint;
pub mod endpoint_pool;
pub mod eviction;
pub mod forwarded_message;
pub mod head_scan;
pub mod http_message;
pub mod load_report;
pub mod memory_waits;
pub mod message_body;
pub mod own_pages;
pub mod rejection;
pub mod request;
pub mod request_error;
pub mod request_parser;
pub mod response;
pub mod response_parser;
pub mod send_guard;
pub mod status_code;
