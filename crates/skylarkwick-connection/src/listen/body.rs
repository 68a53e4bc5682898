//! The body of a request, read piece by piece.

use std::cmp;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::task;

use super::slot::Slot;

/// Memory that a handler needs for a body, as a multiple of its size: the parsed form, and what
/// is stored.
const HANDLING_FACTOR: usize = 8;
/// Smallest size of a buffer that grows, in bytes.
const MIN_BUFFER_BYTES: usize = 1024;
/// Most bytes of a body that are discarded, so that its connection can go on.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Error {
    /// It is longer than the limit.
    TooLarge,
    /// The process has no memory left for it.
    NoMemory,
    /// It is malformed, or the connection has ended.
    Invalid,
}

/// Reads a body of at most `max_bytes`, and reserves its memory as it comes, at the end also what
/// its handler needs.
///
/// # Errors
///
/// Returns why it was not read; a body that announces to be too long isn't begun.
pub(super) async fn read(
    mut body: Incoming,
    max_bytes: u64,
    slot: &Slot,
) -> Result<Vec<u8>, Error> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > max_bytes) {
        return Err(Error::TooLarge);
    }
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_invalid| Error::Invalid)?.into_data() else {
            continue;
        };
        let length = buffer.len() + data.len();
        if length > max_bytes {
            return Err(Error::TooLarge);
        }
        if length > buffer.capacity() {
            let doubled = cmp::min(buffer.capacity() * 2, max_bytes);
            let capacity = cmp::max(doubled, length).max(MIN_BUFFER_BYTES);
            reserve(slot, capacity - buffer.capacity())?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    reserve(slot, buffer.len() * (HANDLING_FACTOR - 1))?;
    Ok(buffer)
}

/// Discards what has arrived of a body that is not worth reading; returns whether that was all of
/// it, so that the connection can go on. Waits for nothing.
pub(super) async fn discard_arrived(mut body: Incoming) -> bool {
    let mut discarded = 0;
    while !body.is_end_stream() && discarded <= MAX_DISCARDED_BYTES {
        // The library hands over what it has received once the body was asked for.
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = task::yield_now() => return false,
        };
        match frame {
            None => return true,
            Some(Ok(frame)) => discarded += frame.data_ref().map_or(0, |data| data.len()),
            Some(Err(_invalid)) => return false,
        }
    }
    body.is_end_stream()
}

fn reserve(slot: &Slot, bytes: usize) -> Result<(), Error> {
    match bytes == 0 || slot.reserve(bytes) {
        true => Ok(()),
        false => Err(Error::NoMemory),
    }
}
