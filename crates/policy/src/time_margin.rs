//! The margin that every bound in real time needs: a process may be held up between reading its clock and acting.

use crate::Micros;

/// How long a process may be held up between reading its clock and writing, as the operators state it.
const HELD_UP: Micros = 150_000;

/// The moment before which something has to begin that must not begin later than `span` after `from`, so that it is in
/// time even if the process is held up. Of a short span no more than half is given up.
pub fn begin_before(from: Micros, span: Micros) -> Micros {
    from.saturating_add(span - HELD_UP.min(span / 2))
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::long(2_000_000, 1_850_000)]
    #[case::usual(400_000, 250_000)]
    #[case::gossip_id(200_000, 100_000)]
    #[case::none(0, 0)]
    fn a_margin_is_kept_and_never_takes_more_than_half(
        #[case] span: Micros,
        #[case] before: Micros,
    ) {
        assert_eq!(begin_before(1_000_000, span), 1_000_000 + before);
    }
}
