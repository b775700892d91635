//! What balancers tell one another, in short lines of text. Endpoints go by the first bits of their hash, which is
//! alike at all. Words may be lost, late or spoilt: what can't be read is none.

use crate::{AttemptOutcome, Micros};

/// How an attempt ended, as far as its endpoint's fame goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerOutcome {
    Neither,
    Passed,
    Failed,
}

impl PeerOutcome {
    /// What an ending tells of the endpoint.
    pub(crate) fn of(ending: AttemptOutcome) -> Self {
        match ending {
            AttemptOutcome::Succeeded => Self::Passed,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent | AttemptOutcome::Rejected => {
                Self::Neither
            }
            _ => Self::Failed,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GossipMessage {
    /// A attempt went to the endpoint.
    Sent(u64),
    /// One of the class ended there.
    Ended(u64, usize, PeerOutcome),
    /// What does the endpoint hold by your book?
    Asks(u64),
    /// So many, and so many hundredth parts of what went there failed.
    Holds(u64, u64, u64),
    /// Connections that rested so long are dropped unseen.
    Dropped(Micros),
}

impl GossipMessage {
    pub(crate) fn read(text: &str) -> Option<Self> {
        let mut parts = text.split(' ');
        let what = parts.next()?;
        let mut number = || {
            parts
                .next()
                .and_then(|part| u64::from_str_radix(part, 16).ok())
        };
        Some(match (what, number()?, number(), number()) {
            ("+", endpoint, ..) => Self::Sent(endpoint),
            ("-", endpoint, Some(class), Some(how)) => {
                let fate = match how {
                    1 => PeerOutcome::Passed,
                    2 => PeerOutcome::Failed,
                    _ => PeerOutcome::Neither,
                };
                Self::Ended(endpoint, usize::try_from(class).ok()?, fate)
            }
            ("?", endpoint, ..) => Self::Asks(endpoint),
            ("=", endpoint, Some(held), lost) => Self::Holds(endpoint, held, lost.unwrap_or(0)),
            ("~", idle_for, ..) => Self::Dropped(idle_for),
            _ => return None,
        })
    }

    /// Which endpoint it is about.
    pub(crate) fn endpoint(self) -> Option<u64> {
        match self {
            Self::Sent(endpoint)
            | Self::Ended(endpoint, ..)
            | Self::Asks(endpoint)
            | Self::Holds(endpoint, ..) => Some(endpoint),
            Self::Dropped(_) => None,
        }
    }

    pub(crate) fn text(self) -> String {
        match self {
            Self::Sent(endpoint) => format!("+ {endpoint:x}"),
            Self::Ended(endpoint, class, fate) => {
                format!("- {endpoint:x} {class:x} {}", fate as u8)
            }
            Self::Asks(endpoint) => format!("? {endpoint:x}"),
            Self::Holds(endpoint, held, lost) => format!("= {endpoint:x} {held:x} {lost:x}"),
            Self::Dropped(idle_for) => format!("~ {idle_for:x}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn words_come_back_as_they_were_told(endpoint in any::<u64>(), a in any::<u64>(), class in 0usize..9) {
            let fate = [PeerOutcome::Neither, PeerOutcome::Passed, PeerOutcome::Failed][class % 3];
            for word in [GossipMessage::Sent(endpoint), GossipMessage::Ended(endpoint, class, fate), GossipMessage::Asks(endpoint),
                GossipMessage::Holds(endpoint, a, endpoint), GossipMessage::Dropped(a)] {
                prop_assert_eq!(GossipMessage::read(&word.text()), Some(word));
                prop_assert!(word.text().len() <= 256);
            }
        }

        #[test]
        fn any_text_is_a_word_or_none(text in ".{0,40}") {
            _ = GossipMessage::read(&text);
        }
    }
}
