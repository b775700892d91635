//! What is still to be told on, riding on whatever is sent anyway.

use std::rc::Rc;

/// How often a piece of news is sent: so many times the logarithm of the members, so that all hear it though some of it
/// is lost (SWIM, section 4.1).
const TIMES: f64 = 5.0;

/// Names whose records are news, and how often each was sent.
#[derive(Default)]
pub struct Dissemination {
    news: Vec<(Rc<str>, u32)>,
}

impl Dissemination {
    /// A record changed: its telling begins anew.
    pub fn add(&mut self, name: &Rc<str>) {
        self.news.retain(|entry| entry.0 != *name);
        self.news.push((Rc::clone(name), 0));
    }

    pub fn is_empty(&self) -> bool {
        self.news.is_empty()
    }

    /// Names to tell now, what was told least first; `fits` takes them while there is room.
    pub fn take(&mut self, members: usize, mut fits: impl FnMut(&str) -> bool) {
        self.news.sort_by_key(|entry| entry.1);
        let most = (TIMES * (members as f64 + 1.0).log10()).ceil() as u32;
        for entry in &mut self.news {
            if !fits(&entry.0) {
                break;
            }
            entry.1 += 1;
        }
        self.news.retain(|entry| entry.1 < most.max(3));
    }
}
