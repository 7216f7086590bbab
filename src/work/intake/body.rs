//! Collects the body of a request into one buffer whose bytes are counted.

use std::pin::pin;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::work::intake::gate::ConnectionSlot;

/// First size of the buffer of a body, in bytes.
const BUFFER_MIN_BYTES: usize = 4_096;
/// Bytes that have to arrive to count as progress.
const PROGRESS_BYTES: usize = 4_096;

/// Why a body was not collected. Nothing of its request has been done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It is larger than allowed.
    TooLarge,
    /// The client broke it off.
    CutOff,
    /// There is no room for it, or it has given way to others.
    NoRoom,
}

/// A body that was read whole. Its bytes are counted until `close`, or until the connection ends.
pub struct HeldBody {
    bytes: Vec<u8>,
    slot: ConnectionSlot,
    granted: usize,
}

impl HeldBody {
    /// Returns the content.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Gives the room back, once the request is answered.
    pub fn close(self) {
        self.slot.release(self.granted);
    }
}

/// Reads a body of at most `limit` bytes, unless it has to give way to others.
///
/// # Errors
///
/// Returns why the body was not read whole; its room has been given back.
pub async fn collect_body(
    body: impl Body<Data = Bytes>,
    limit: usize,
    slot: &ConnectionSlot,
) -> Result<HeldBody, BodyRefusal> {
    slot.receive(limit);
    let mut held = HeldBody {
        bytes: Vec::new(),
        slot: slot.clone(),
        granted: 0,
    };
    let read = tokio::select! {
        biased;
        () = slot.wait_refuse() => Err(BodyRefusal::NoRoom),
        read = read_frames(body, limit, &mut held) => read,
    };
    match read {
        Ok(()) => {
            slot.serve();
            Ok(held)
        }
        Err(refusal) => {
            held.close();
            Err(refusal)
        }
    }
}

async fn read_frames(
    body: impl Body<Data = Bytes>,
    limit: usize,
    held: &mut HeldBody,
) -> Result<(), BodyRefusal> {
    let mut body = pin!(body);
    let mut progressed = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyRefusal::CutOff)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let wanted = held.bytes.len() + data.len();
        if wanted > limit {
            return Err(BodyRefusal::TooLarge);
        }
        reserve(held, wanted, limit)?;
        held.bytes.extend_from_slice(data);
        if wanted - progressed >= PROGRESS_BYTES {
            progressed = wanted;
            held.slot.progress();
        }
    }
    Ok(())
}

/// Makes the buffer large enough; it doubles, so that few steps are granted.
fn reserve(held: &mut HeldBody, wanted: usize, limit: usize) -> Result<(), BodyRefusal> {
    if wanted <= held.granted {
        return Ok(());
    }
    let doubled = wanted.max(held.granted * 2).max(BUFFER_MIN_BYTES);
    let size = doubled.min(limit);
    held.slot
        .grow(size - held.granted)
        .map_err(|_| BodyRefusal::NoRoom)?;
    held.granted = size;
    held.bytes.reserve_exact(size - held.bytes.len());
    Ok(())
}
