//! Who is there, in the manner of SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's cures for slow processes (Dadgar,
//! Phillips, Currey, 2018): what is known of each member and what can't be known, whom to probe, and what to tell on.

pub mod dissemination;
pub mod failure_detector;
pub mod table;
