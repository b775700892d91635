//! Errors in the views of the balancers.

use std::fmt;

/// The reason why the latest view of a balancer does not agree with the actual state.
#[derive(Clone, Debug)]
pub(super) enum ViewError {
    /// The balancer has not sent a view yet.
    NoView { balancer: usize },
    /// The balancer has not sent a view since the latest event of the timeline.
    NoViewSinceEvent { balancer: usize },
    /// The view contains another balancer in a wrong state.
    WrongState {
        balancer: usize,
        other: usize,
        /// The state of the other balancer in the view.
        state: String,
        /// Whether the other balancer runs and is not paused.
        is_responsive: bool,
    },
}

impl fmt::Display for ViewError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NoView { balancer } => write!(out, "no view of b{balancer} was received"),
            Self::NoViewSinceEvent { balancer } => write!(
                out,
                "no view of b{balancer} was received since the latest change of a balancer"
            ),
            Self::WrongState {
                balancer,
                other,
                state,
                is_responsive,
            } => {
                let expected = if *is_responsive {
                    "present with its current process"
                } else {
                    "any state but present"
                };
                write!(
                    out,
                    "b{balancer} has b{other} in state {state}, expected {expected}"
                )
            }
        }
    }
}

impl std::error::Error for ViewError {}
