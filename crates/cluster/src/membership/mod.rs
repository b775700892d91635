//! Membership by the SWIM protocol (Das, Gupta, Motivala, 2002) with Lifeguard's extensions for
//! slow processes (Dadgar, Phillips, Currey, 2018): the member table, the failure detector, and the
//! dissemination of changes.

pub mod dissemination;
pub mod events;
pub mod failure_detector;
pub mod member;
mod merge;
pub mod table;
