//! What is kept in memory.

pub mod buffers;
pub mod clock;
pub mod counters;
pub mod deadlines;
pub mod desk;
pub mod slots;
