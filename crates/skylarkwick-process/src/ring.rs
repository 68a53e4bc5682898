//! Bounded rings that join duties.
//!
//! A ring blocks while it waits and never grows. A full ring is an outcome that
//! its sender has to handle: overload is refused where it arises instead of
//! being stored. Built on the standard library's bounded channel.

use std::{sync::mpsc, time::Duration};

/// The sending end of a ring.
#[derive(Debug)]
pub struct Sender<T> {
    inner: mpsc::SyncSender<T>,
}

/// The receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    inner: mpsc::Receiver<T>,
}

/// Why an item was not taken; gives the item back.
#[derive(Debug, PartialEq, Eq)]
pub enum SendError<T> {
    /// The ring is full.
    Full(T),
    /// The receiving duty has ended.
    Closed(T),
}

/// Why no item was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveError {
    /// Nothing came in time.
    TimedOut,
    /// Every sending end is gone.
    Closed,
}

/// Creates a ring that holds at most `capacity` items.
pub fn bounded<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::sync_channel(capacity);
    (Sender { inner: sender }, Receiver { inner: receiver })
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender { inner: self.inner.clone() }
    }
}

impl<T> Sender<T> {
    /// Sends an item unless the ring is full.
    ///
    /// # Errors
    ///
    /// Gives the item back when the ring is full or its receiver has ended.
    pub fn try_send(&self, item: T) -> Result<(), SendError<T>> {
        self.inner.try_send(item).map_err(|error| match error {
            mpsc::TrySendError::Full(item) => SendError::Full(item),
            mpsc::TrySendError::Disconnected(item) => SendError::Closed(item),
        })
    }

    /// Sends an item, waiting while the ring is full.
    ///
    /// # Errors
    ///
    /// Gives the item back when the receiver has ended.
    pub fn send(&self, item: T) -> Result<(), SendError<T>> {
        self.inner.send(item).map_err(|mpsc::SendError(item)| SendError::Closed(item))
    }
}

impl<T> Receiver<T> {
    /// Waits for an item.
    pub fn receive(&self) -> Option<T> {
        self.inner.recv().ok()
    }

    /// Waits for an item for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Tells whether time ran out or every sender is gone.
    pub fn receive_timeout(&self, timeout: Duration) -> Result<T, ReceiveError> {
        self.inner.recv_timeout(timeout).map_err(|error| match error {
            mpsc::RecvTimeoutError::Timeout => ReceiveError::TimedOut,
            mpsc::RecvTimeoutError::Disconnected => ReceiveError::Closed,
        })
    }

    /// Takes an item that is there already.
    pub fn try_receive(&self) -> Option<T> {
        self.inner.try_recv().ok()
    }
}
