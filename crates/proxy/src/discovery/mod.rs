//! Discovery: the endpoint list, followed by polls that discovery holds until there is a change
//! (watches).
//!
//! [`polling_schedule`] decides when to poll, [`connection`] carries polls and responses,
//! [`handler`] reacts to their events, [`list_update`] applies lists to the endpoint table and the
//! policy, [`partial_list`] reads incomplete ones.

mod connection;
mod handler;
mod list_error;
mod list_update;
mod partial_list;
mod peer_list;
mod polling_schedule;
mod response;
mod start_times;
pub mod state;

#[cfg(test)]
mod tests;
