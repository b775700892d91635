//! Client of the discovery service: fetches the endpoint list and keeps it current with watches,
//! which are polls that discovery holds until the list changes.
//!
//! [`polling_schedule`] decides when to poll, [`transport`] sends polls and reads responses,
//! [`handler`] handles their events, [`list_update`] and [`endpoint_update`] apply lists to the
//! policy and the endpoint table, and [`partial_list`] parses incomplete lists.

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
