//! Bounded rings: fixed-capacity channels between duties.
//!
//! Waiting blocks the thread. A sender has to handle a full ring, so that overload
//! is rejected where it occurs instead of being buffered. Built on the standard
//! library's bounded channel.

use std::{sync::mpsc, time::Duration};

/// The sending end of a ring; clones send to the same receiver.
#[derive(Debug)]
pub struct Sender<T> {
    inner: mpsc::SyncSender<T>,
}

/// The receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    inner: mpsc::Receiver<T>,
}

/// Why an item was not sent: the ring is full or its receiver was dropped. Contains the
/// item.
#[derive(Debug, PartialEq, Eq)]
pub enum SendError<T> {
    /// The ring is full.
    Full(T),
    /// The receiver was dropped.
    Closed(T),
}

/// Why no item was received: the timeout expired, or every sender was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveError {
    /// No item arrived before the timeout.
    TimedOut,
    /// The ring is empty and every sender was dropped.
    Closed,
}

/// Creates a ring that holds at most `capacity` items, received in the order in which
/// they were sent.
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
    /// Sends an item without blocking.
    ///
    /// # Errors
    ///
    /// Returns the item if the ring is full or its receiver was dropped.
    pub fn try_send(&self, item: T) -> Result<(), SendError<T>> {
        self.inner.try_send(item).map_err(|error| match error {
            mpsc::TrySendError::Full(item) => SendError::Full(item),
            mpsc::TrySendError::Disconnected(item) => SendError::Closed(item),
        })
    }

    /// Sends an item, blocking while the ring is full.
    ///
    /// # Errors
    ///
    /// Returns the item if the receiver was dropped.
    pub fn send(&self, item: T) -> Result<(), SendError<T>> {
        self.inner.send(item).map_err(|mpsc::SendError(item)| SendError::Closed(item))
    }
}

impl<T> Receiver<T> {
    /// Blocks until an item arrives; returns none once the ring is empty and every sender
    /// was dropped.
    pub fn receive(&self) -> Option<T> {
        self.inner.recv().ok()
    }

    /// Blocks until an item arrives, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the timeout expired, or if the ring is empty and every sender
    /// was dropped.
    pub fn receive_timeout(&self, timeout: Duration) -> Result<T, ReceiveError> {
        self.inner.recv_timeout(timeout).map_err(|error| match error {
            mpsc::RecvTimeoutError::Timeout => ReceiveError::TimedOut,
            mpsc::RecvTimeoutError::Disconnected => ReceiveError::Closed,
        })
    }

    /// Returns an item without blocking, or none if the ring is empty, whether or not its
    /// senders were dropped.
    pub fn try_receive(&self) -> Option<T> {
        self.inner.try_recv().ok()
    }
}
