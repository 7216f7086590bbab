//! A stream whose messages count towards its listener's intake while they arrive.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::work::intake::gate::ConnectionSlot;
use crate::work::intake::ledger::IntakeFull;

/// Bytes of a message that are granted at once.
const GRANT_BYTES: usize = 16_384;
/// Upper bound of what a call takes beside its message while it is served, in bytes.
const CALL_BYTES: usize = 4_096;

/// Bytes of the message that arrives on a connection.
#[derive(Clone)]
pub struct MessageMeter {
    slot: ConnectionSlot,
    counts: Arc<MessageCounts>,
}

#[derive(Debug, Default)]
struct MessageCounts {
    read: AtomicUsize,
    granted: AtomicUsize,
}

impl MessageMeter {
    /// Returns a meter that has counted nothing.
    pub fn new(slot: ConnectionSlot) -> Self {
        Self {
            slot,
            counts: Arc::default(),
        }
    }

    /// Records that a message of this size has arrived whole, and returns how many bytes are held
    /// for it. They are given back with `release`.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn take_message(&self, size: usize) -> Result<usize, IntakeFull> {
        self.counts.read.store(0, Ordering::Relaxed);
        self.slot.rest();
        let granted = self.counts.granted.swap(0, Ordering::Relaxed);
        if granted == 0 {
            let held = size + CALL_BYTES;
            self.slot.grow(held)?;
            return Ok(held);
        }
        Ok(granted)
    }

    /// Holds bytes for a reply. They are given back with `release`.
    ///
    /// # Errors
    ///
    /// Fails if there is no room for it.
    pub fn hold(&self, size: usize) -> Result<(), IntakeFull> {
        self.slot.grow(size)
    }

    /// Gives back the bytes of a message.
    pub fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.slot.release(bytes);
        }
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let read = self.counts.read.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let granted = self.counts.granted.load(Ordering::Relaxed);
        if read <= granted {
            return Ok(());
        }
        // Messages up to the first grant cost no more than the connection itself.
        if granted == 0 && read <= GRANT_BYTES {
            return Ok(());
        }
        let wanted = (read - granted).next_multiple_of(GRANT_BYTES);
        if granted == 0 {
            self.slot.receive(0);
        }
        self.slot
            .grow(wanted)
            .map_err(|_| io::Error::other("no room for the message"))?;
        self.slot.progress();
        self.counts
            .granted
            .store(granted + wanted, Ordering::Relaxed);
        Ok(())
    }
}

/// A stream that counts what is read from it.
pub struct MeteredStream<S> {
    stream: S,
    meter: MessageMeter,
}

impl<S> MeteredStream<S> {
    /// Counts what is read from a stream.
    pub fn new(stream: S, meter: MessageMeter) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.meter.count(buffer.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
