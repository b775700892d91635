//! Compares the program's external interfaces byte for byte with the files under `tests/recorded/`:
//! the bytes that endpoints, clients, discovery and peers receive from a built `pinefront`, and its
//! response to each key of the configuration.
//!
//! `RECORD_EDGES=1 cargo test -p pinefront-proxy --test edges` rewrites the recordings. Use it only
//! for a change that is intended to alter bytes on the wire.

#![allow(clippy::pedantic)] // Off since the recordings were made.

mod clients;
mod configuration;
mod discovery;
mod endpoints;
mod harness;
mod peers;
mod reload;
