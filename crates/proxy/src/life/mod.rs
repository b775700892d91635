//! How the program starts, serves, takes a new configuration, logs and stops.

pub mod log;
pub mod place;
pub mod reasons;
pub mod reread;
pub mod serve;
pub mod start;
pub mod stop;
