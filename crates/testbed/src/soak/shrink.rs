//! Reduces a failing schedule by removing faults, one after the other, as long as the run still
//! fails.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::runner::{RunOptions, Subject, run};
use crate::soak::parse_schedule;

/// The line that starts each fault in the text of a schedule.
const FAULT_HEADER: &str = "[[faults]]\n";

/// Whether a run of the schedule ends with a violation or an unexpected exit.
fn fails(text: &str, seed: u64, subject: &Subject, stop: &Arc<AtomicBool>) -> bool {
    let options = RunOptions {
        stop: Arc::clone(stop),
        ..RunOptions::default()
    };
    let figures = parse_schedule(text).and_then(|scenario| run(&scenario, seed, subject, &options));
    figures.is_ok_and(|figures| !figures.is_sound())
}

/// Returns the smallest schedule found for which the run still fails.
pub fn shrink(text: &str, seed: u64, subject: &Subject, stop: &Arc<AtomicBool>) -> String {
    let parts: Vec<&str> = text.split(FAULT_HEADER).collect();
    let smallest = remove_unneeded(&parts, |parts| {
        !stop.load(Ordering::Relaxed) && fails(&parts.join(FAULT_HEADER), seed, subject, stop)
    });
    smallest.join(FAULT_HEADER)
}

/// Removes each part without which `fails` still returns true. The first part, which holds the
/// settings, and at least one fault remain.
pub fn remove_unneeded<'a>(
    parts: &[&'a str],
    mut fails: impl FnMut(&[&'a str]) -> bool,
) -> Vec<&'a str> {
    const MIN_PARTS: usize = 2;
    let mut remaining = parts.to_vec();
    let mut index = 1;
    while index < remaining.len() && remaining.len() > MIN_PARTS {
        let mut fewer = remaining.clone();
        fewer.remove(index);
        if fails(&fewer) {
            remaining = fewer;
        } else {
            index += 1;
        }
    }
    remaining
}
