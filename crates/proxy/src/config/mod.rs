//! Configuration of a balancer: its addresses, its limits, and the settings that the proxy itself
//! uses.

pub use error::{ConfigError, LoadError};
pub use load::{Variables, load, variables};
pub use proxy_config::Config;

mod classes;
mod decode;
mod error;
mod load;
mod proxy_config;
#[cfg(test)]
mod tests;
