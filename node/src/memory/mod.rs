//! What is kept in memory.

pub mod buffers;
pub mod counters;
pub mod deadlines;
pub mod desk;
pub mod slots;
