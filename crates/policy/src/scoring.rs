//! The scoring function of *A Reinforcement Learning Approach for Scheduling Function Design in
//! SDN* (ICC 2019): the score, its projection to selection probabilities, and the learning of its
//! weights.

pub(crate) mod learning;
pub(crate) mod projection;
pub(crate) mod score;
