//! The edges of the program, held in place: what endpoints, clients, discovery and peers receive from a built `pinefront`,
//! and what it says of each key of its configuration, compared byte for byte with the files under `tests/recorded/`.
//!
//! `RECORD_EDGES=1 cargo test -p pinefront-proxy --test edges` writes the recordings anew; only a change that is meant to
//! alter what is on a wire may do so.

#![allow(clippy::pedantic)] // As it was when the recording was made.

mod clients;
mod configuration;
mod discovery;
mod endpoints;
mod harness;
mod peers;
mod reload;
