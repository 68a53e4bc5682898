//! Rings: capacity, blocking and errors; the stop signal wakes sleeping duties.

use std::time::Duration;

use skylarkwick_process::{
    duty::{Duty, StopSignal},
    ring::{self, ReceiveError, SendError},
};

#[test]
fn full_ring_rejects() {
    let (sender, receiver) = ring::bounded(2);
    assert_eq!(sender.try_send(1), Ok(()));
    assert_eq!(sender.try_send(2), Ok(()));
    assert_eq!(sender.try_send(3), Err(SendError::Full(3)));
    assert_eq!(receiver.try_receive(), Some(1));
    assert_eq!(sender.try_send(3), Ok(()));
    drop(receiver);
    assert_eq!(sender.try_send(4), Err(SendError::Closed(4)));
}

#[test]
fn empty_ring_errors() {
    let (sender, receiver) = ring::bounded::<u8>(1);
    assert_eq!(receiver.receive_timeout(Duration::ZERO), Err(ReceiveError::TimedOut));
    drop(sender);
    assert_eq!(receiver.receive_timeout(Duration::ZERO), Err(ReceiveError::Closed));
    assert_eq!(receiver.receive(), None);
}

#[test]
fn full_ring_blocks() {
    let (sender, receiver) = ring::bounded(1);
    let duty = Duty::spawn("sending", move || {
        for item in 0..100 {
            sender.send(item).unwrap();
        }
    })
    .unwrap();
    let received: Vec<i32> = std::iter::from_fn(|| receiver.receive()).collect();
    assert_eq!(received, (0..100).collect::<Vec<_>>());
    assert!(duty.join());
}

#[test]
fn stop_wakes_sleepers() {
    let stop = StopSignal::default();
    let sleeper = stop.clone();
    let duty = Duty::spawn("sleeping", move || sleeper.wait()).unwrap();
    assert!(!stop.sleep(Duration::ZERO));
    stop.request();
    assert!(duty.join());
    assert!(stop.sleep(Duration::from_secs(3600)));
}
