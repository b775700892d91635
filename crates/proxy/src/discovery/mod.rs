//! Discovery: the endpoint list, followed by polls that discovery holds until there is a change
//! (watches).
//!
//! [`polling_schedule`] decides when to poll, [`transport`] carries polls and responses,
//! [`handler`] reacts to their events, [`list_update`] and [`endpoint_update`] apply lists to the
//! policy and the endpoint table, [`partial_list`] reads incomplete ones.

mod connection;
mod endpoint_update;
mod handler;
mod list_error;
mod list_update;
mod partial_list;
mod peer_list;
mod polling_schedule;
mod response;
mod start_times;
pub mod state;
mod transport;

#[cfg(test)]
mod tests;
