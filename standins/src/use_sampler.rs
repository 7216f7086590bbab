//! Samples what a process uses while a test runs: its peaks cannot be read afterwards.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::process_use::{ProcessUse, process_use, unread_bytes};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Samples a process on a thread of its own. Call `close` for the peaks.
pub struct UseSampler {
    closing: Arc<AtomicBool>,
    thread: JoinHandle<ProcessUse>,
}

impl UseSampler {
    /// Starts to sample a process with these listeners. What their connections have received and
    /// nobody has read counts as memory.
    pub fn start(process: u32, listeners: Vec<SocketAddr>) -> Self {
        let closing = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&closing);
        let thread = std::thread::spawn(move || {
            let mut peak = ProcessUse {
                memory_bytes: 0,
                descriptors: 0,
            };
            while !shared.load(Ordering::Relaxed) {
                let Some(used) = process_use(process) else {
                    break;
                };
                let unread: u64 = listeners.iter().copied().map(unread_bytes).sum();
                peak.memory_bytes = peak.memory_bytes.max(used.memory_bytes + unread);
                peak.descriptors = peak.descriptors.max(used.descriptors);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { closing, thread }
    }

    /// Stops and returns the peaks.
    pub fn close(self) -> ProcessUse {
        self.closing.store(true, Ordering::Relaxed);
        self.thread.join().expect("the sampler's thread")
    }
}
