//! Comparison of orders' fencing tokens with the newest ones of the owner.

use crate::work::owner::PoolOwner;
use crate::work::upstream::OrderTarget;

impl PoolOwner {
    /// Returns whether an order carries the owner's newest token for its upstream. An older one was
    /// meant for an earlier life of the upstream.
    pub(super) fn has_newest_token(&self, target: &OrderTarget) -> bool {
        let index = self.upstream_index(&target.upstream);
        let newest = index.and_then(|index| self.upstreams[index].target(self.term));
        newest.is_none_or(|newest| newest.fencing_token <= target.fencing_token)
    }
}
