//! Fencing tokens of orders, and what an upstream's refusal of one proves.

use crate::work::model::upstream::{OrderTarget, StartOrder};
use crate::work::owner::PoolOwner;

impl PoolOwner {
    /// Returns whether an order carries the owner's newest token for its upstream. An older one was
    /// meant for an earlier life of the upstream.
    pub(super) fn has_newest_token(&self, target: &OrderTarget) -> bool {
        let index = self.upstream_index(&target.upstream);
        let newest = index.and_then(|index| self.upstreams[index].target(self.term));
        newest.is_none_or(|newest| newest.fencing_token <= target.fencing_token)
    }

    /// Handles the answer that an upstream has seen a higher token than that of the order. It proves
    /// a later owner only if the order carried this owner's newest token.
    pub(super) fn on_fence(&mut self, target: &OrderTarget) {
        self.superseded |= self.has_newest_token(target);
    }

    /// Handles the same answer to a member's start, which has therefore done nothing.
    pub(super) fn on_start_fenced(
        &mut self,
        order: &StartOrder,
        job: usize,
        unit: usize,
        member: usize,
    ) {
        self.on_fence(&order.target);
        if self.superseded {
            return;
        }
        // An earlier copy of the order may have started the run.
        if !self.jobs[job].units[unit].members[member].start_unconfirmed {
            self.clear_member(job, unit, member);
        }
        self.stop_unit(job, unit);
    }
}
