//! Makes a failing schedule smaller: troubles are left out one after the other as long as it still fails.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::play::{Who, Wishes, play};
use crate::soak::day_of;

/// What stands between two troubles in a schedule's text.
const FAULT: &str = "[[faults]]\n";

fn fails(text: &str, seed: u64, who: &Who, over: &Arc<AtomicBool>) -> bool {
    let wishes = Wishes {
        over: Arc::clone(over),
        ..Wishes::default()
    };
    let played = day_of(text).and_then(|scenario| play(&scenario, seed, who, &wishes));
    played.is_ok_and(|figures| !figures.is_sound())
}

/// The smallest schedule found that still fails.
pub fn shrink(text: &str, seed: u64, who: &Who, over: &Arc<AtomicBool>) -> String {
    let parts: Vec<&str> = text.split(FAULT).collect();
    let mut kept = without_needless(&parts, |parts| {
        !over.load(Ordering::Relaxed) && fails(&parts.join(FAULT), seed, who, over)
    });
    if kept.is_empty() {
        kept = parts;
    }
    kept.join(FAULT)
}

/// Leaves out each part but the first, the head, without which it still fails.
pub fn without_needless<'a>(
    parts: &[&'a str],
    mut fails: impl FnMut(&[&'a str]) -> bool,
) -> Vec<&'a str> {
    let mut kept = parts.to_vec();
    let mut at = 1;
    while at < kept.len() && kept.len() > 2 {
        let mut fewer = kept.clone();
        fewer.remove(at);
        if fails(&fewer) {
            kept = fewer;
        } else {
            at += 1;
        }
    }
    kept
}
