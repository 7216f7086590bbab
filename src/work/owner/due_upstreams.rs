//! Upstreams for which something may be due: a renewal, or the end of their leases.
//!
//! An upstream is looked at when its state has changed, and when the time has come that was set after
//! the last look. A tick then costs what is due, however many upstreams there are.

/// Time at which an upstream is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DueTimer {
    at_ms: u64,
    index: usize,
}

/// Upstreams to look at, by their indexes in the owner's list.
#[derive(Clone, Debug, Default)]
pub struct DueUpstreams {
    /// Whether indexes have changed, so that all upstreams are looked at.
    all: bool,
    /// Those whose state has changed.
    touched: Vec<usize>,
    /// Sorted by time, the earliest last.
    timers: Vec<DueTimer>,
    /// The earliest timer of each upstream, by index.
    armed: Vec<Option<u64>>,
}

impl DueUpstreams {
    /// Notes that the state of an upstream may have changed.
    pub fn touch(&mut self, index: usize) {
        if !self.all {
            self.touched.push(index);
        }
    }

    /// Forgets all indexes, as an upstream was inserted; all are looked at next.
    pub fn reset(&mut self) {
        self.all = true;
        self.touched.clear();
        self.timers.clear();
    }

    /// Looks at an upstream at this time.
    pub fn arm(&mut self, index: usize, at_ms: u64) {
        if self.armed.len() <= index {
            self.armed.resize(index + 1, None);
        }
        if self.armed[index].is_some_and(|armed_ms| armed_ms <= at_ms) {
            return;
        }
        self.armed[index] = Some(at_ms);
        let at = self.timers.partition_point(|timer| timer.at_ms > at_ms);
        self.timers.insert(at, DueTimer { at_ms, index });
    }

    /// Adds the upstreams to look at now to a sorted list; `count` is the number of all.
    pub fn take_into(&mut self, due: &mut Vec<usize>, now_ms: u64, count: usize) {
        if std::mem::take(&mut self.all) {
            self.armed.clear();
            due.clear();
            due.extend(0..count);
            return;
        }
        due.append(&mut self.touched);
        while let Some(timer) = self.timers.pop_if(|timer| timer.at_ms <= now_ms) {
            let armed = &mut self.armed[timer.index];
            if *armed == Some(timer.at_ms) {
                *armed = None;
            }
            due.push(timer.index);
        }
        due.sort_unstable();
        due.dedup();
    }
}
