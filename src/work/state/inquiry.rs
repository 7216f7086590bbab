//! What a host has learned by asking a silent owner directly, over the link between the two hosts.
//!
//! All hosts read the owner's heartbeats from the same stream, so an owner that is merely slow is
//! silent for all of them at once. Its own answer is evidence that does not depend on the store.

/// Time before a claim is due at which the owner is asked, in ms. The machine of a process that is
/// gone refuses well within it. Earlier inquiries of all hosts would add to the load of a busy owner.
pub const INQUIRY_LEAD_MS: u64 = 200;
/// Longest wait for the owner's answer, in ms.
pub const INQUIRY_TIMEOUT_MS: u64 = 800;
/// Time between the answer to an inquiry and the next inquiry, in ms; a proof outlasts it.
const INQUIRY_INTERVAL_MS: u64 = 600;
/// Time for which an answer proves that the owner is at work, in ms.
const ANSWER_VALID_MS: u64 = 800;

/// What the inquiries show at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InquiryVerdict {
    /// The owner has not been asked since its last heartbeat.
    Unasked,
    /// The first answer is awaited.
    Awaited,
    /// The owner has proved that it is at work.
    AtWork,
    /// The owner is unreachable or silent, has lost its term or does not work.
    Unproved,
}

/// The inquiries since the owner's last heartbeat.
#[derive(Clone, Debug, Default)]
pub struct OwnerInquiry {
    /// When the latest inquiry was sent, steady ms.
    asked_ms: Option<u64>,
    /// When the answer to it arrived or was given up, steady ms.
    answered_ms: Option<u64>,
    /// When the latest proof that the owner is at work arrived, steady ms.
    proved_ms: Option<u64>,
    /// Whether the latest inquiry that has ended brought no proof.
    is_refuted: bool,
}

impl OwnerInquiry {
    /// Forgets all answers.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the owner should be asked now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        match (self.asked_ms, self.answered_ms) {
            (None, _) => true,
            (Some(asked_ms), None) => now_ms >= asked_ms + 2 * INQUIRY_TIMEOUT_MS,
            (_, Some(answered_ms)) => now_ms >= answered_ms + INQUIRY_INTERVAL_MS,
        }
    }

    /// Records that the owner is asked.
    pub fn start(&mut self, now_ms: u64) {
        self.asked_ms = Some(now_ms);
        self.answered_ms = None;
    }

    /// Records the outcome of the inquiry that was sent at `asked_ms`, unless it is out of date.
    pub fn finish(&mut self, asked_ms: u64, now_ms: u64, at_work: bool) {
        if self.asked_ms != Some(asked_ms) {
            return;
        }
        self.answered_ms = Some(now_ms);
        self.proved_ms = at_work.then_some(now_ms);
        self.is_refuted = !at_work;
    }

    /// Returns what the inquiries show.
    pub fn verdict(&self, now_ms: u64) -> InquiryVerdict {
        let Some(asked_ms) = self.asked_ms else {
            return InquiryVerdict::Unasked;
        };
        let is_valid = |proved_ms: u64| now_ms < proved_ms + ANSWER_VALID_MS;
        // A further inquiry doesn't take back that the one before brought no proof.
        let is_awaited = !self.is_refuted
            && self.answered_ms.is_none()
            && now_ms < asked_ms + INQUIRY_TIMEOUT_MS;
        match (self.proved_ms.is_some_and(is_valid), is_awaited) {
            (true, _) => InquiryVerdict::AtWork,
            (false, true) => InquiryVerdict::Awaited,
            (false, false) => InquiryVerdict::Unproved,
        }
    }
}
