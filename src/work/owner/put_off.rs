//! Answers to renewals that would wait until their lease is over.

use crate::work::clock::ClockReading;
use crate::work::model::upstream::{RenewOrder, RenewReply};
use crate::work::owner::PoolOwner;

impl PoolOwner {
    /// Takes an answer that has waited for long as a sign of life only: the upstream's lease is renewed
    /// at the next tick, and the upstream lists again what it has listed here. Returns whether the
    /// answer may be dropped; if not, it has to be handled in full.
    pub fn put_off_renewal(&mut self, order: &RenewOrder, reply: &RenewReply) -> bool {
        let Some(index) = self.upstream_index(&order.target.upstream) else {
            return true;
        };
        let (now_ms, arrived_ms) = (self.now.steady_ms, self.arrived_ms);
        let token = self.upstreams[index]
            .target(self.term)
            .map(|own| own.fencing_token);
        let upstream = &mut self.upstreams[index];
        let same_life = reply.incarnation == 0 || reply.incarnation == upstream.incarnation;
        let is_plain = same_life && token == Some(order.target.fencing_token);
        if !is_plain || upstream.missed_renewals > 0 {
            return false;
        }
        let reading = ClockReading {
            shown_ms: reply.clock_ms,
            arrived_ms,
        };
        upstream.clock = Some(upstream.clock.map_or(reading, |old| old.later(reading)));
        upstream.renewing = false;
        upstream.next_renewal_ms = now_ms;
        self.due.touch(index);
        metrics::counter!("hemlockramp_renewals_put_off_total").increment(1);
        true
    }
}
