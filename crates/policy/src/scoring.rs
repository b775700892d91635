//! The scoring function of *A Reinforcement Learning Approach for Scheduling Function Design in
//! SDN* (ICC 2019): score, projection to probabilities, and learning of the weights.

pub(crate) mod learning;
pub(crate) mod projection;
pub(crate) mod score;
