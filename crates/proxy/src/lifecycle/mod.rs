//! Startup, reload and shutdown of the process.

pub mod error;
pub mod reload;
pub mod retry;
pub mod shutdown;
pub mod startup;
