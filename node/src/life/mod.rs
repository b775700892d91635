//! How the program starts, serves, logs and stops.

pub mod log;
pub mod place;
pub mod reasons;
pub mod serve;
pub mod start;
pub mod stop;
