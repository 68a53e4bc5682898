//! Access to queues by API key, without a network: known, unknown and withdrawn keys, and a
//! configuration of any age.

use std::{sync::Arc, time::Duration};

use skylarkwick_connection::control::{Configuration, Route};
use skylarkwick_entry::jobs::access::{Denial, View};
use skylarkwick_request::shard::input::Queue;
use skylarkwick_version::workspace::Keyring;

const KEY: &str = "Bearer secret-1";
const MAX_AGE: Duration = Duration::from_millis(4750);

fn route(prefix: &str, is_open: bool) -> Route {
    Route {
        host: Arc::from("site.example"),
        prefix: Arc::from(prefix),
        queue: Queue {
            name: Arc::from("q"),
            pool: Arc::from("pool"),
            priority: 0,
            max_attempts: 3,
            stretch: 1.0,
            target: Duration::ZERO,
        },
        is_open,
    }
}

fn configuration() -> Configuration {
    let mut keyring = Keyring::default();
    assert!(keyring.add("secret-1", &Arc::from("small")));
    assert!(keyring.add("secret-2", &Arc::from("large")));
    let routes = vec![route("/open/", true), route("/closed/", false)];
    Configuration { version: 1, routes, keyring, ..Configuration::default() }
}

fn access(age: Duration, path: &str, key: Option<&str>) -> Result<Option<String>, Denial> {
    let configuration = configuration();
    let view = View { configuration: Some(&configuration), age, max_age: Some(MAX_AGE) };
    let access = view.access("site.example", path, key)?;
    Ok(access.workspace.map(|name| name.to_string()))
}

#[test]
fn keys_name_workspaces() {
    let small = Some("small".to_owned());
    let large = Some("large".to_owned());
    assert_eq!(access(Duration::ZERO, "/closed/1", Some(KEY)), Ok(small));
    assert_eq!(access(Duration::ZERO, "/closed/1", Some("Bearer secret-2")), Ok(large));
    for key in [None, Some(""), Some("secret-1"), Some("Bearer "), Some("Bearer secret-3")] {
        assert_eq!(access(Duration::ZERO, "/closed/1", key), Err(Denial::UnknownKey), "{key:?}");
    }
}

#[test]
fn open_queue_needs_none() {
    assert_eq!(access(Duration::ZERO, "/open/1", None), Ok(None));
    assert_eq!(access(Duration::from_secs(60), "/open/1", Some("Bearer other")), Ok(None));
    assert_eq!(access(Duration::ZERO, "/none/1", Some(KEY)), Err(Denial::NoQueue));
}

/// A key may have been withdrawn while the entry host was cut off or frozen.
#[test]
fn old_view_trusts_no_key() {
    let just_below = MAX_AGE - Duration::from_millis(1);
    assert!(access(just_below, "/closed/1", Some(KEY)).is_ok());
    assert_eq!(access(MAX_AGE, "/closed/1", Some(KEY)), Err(Denial::StaleConfiguration));
    let unlimited = configuration();
    let view =
        View { configuration: Some(&unlimited), age: Duration::from_secs(60), max_age: None };
    assert!(view.access("site.example", "/closed/1", Some(KEY)).is_ok());
}

/// A key may have been added while the entry host lost the store for a moment.
#[test]
fn unknown_key_may_be_new() {
    let age = Duration::from_millis(2500);
    let denial = access(age, "/closed/1", Some("Bearer new"));
    assert_eq!(denial, Err(Denial::StaleConfiguration));
    assert_eq!(access(age, "/closed/1", None), Err(Denial::UnknownKey));
}

#[test]
fn key_stands_for_one() {
    let mut keyring = Keyring::default();
    assert!(keyring.add("secret-1", &Arc::from("first")));
    assert!(!keyring.add("secret-1", &Arc::from("second")));
    assert!(keyring.add("secret-1", &Arc::from("first")));
    assert_eq!(keyring.len(), 1);
    assert_eq!(keyring.workspace("secret-1").map(|name| &**name), Some("first"));
    assert!(!format!("{keyring:?}").contains("secret"));
}
