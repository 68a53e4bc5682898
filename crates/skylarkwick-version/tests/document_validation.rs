//! Document validation: accepted documents, and the line, key and fix of each error.

use std::time::Duration;

use skylarkwick_version::{
    document::{Options, Priority, StopMethod},
    source::Source,
};

const VALID: &str = r#"service = "retail"
team = "tills"
pool = "retail"
priority = "urgent"

[capacity]
hosts = 12
down-at-once = 2

[work]
repeatable = false
run-time = "60ms"
deadline = "5s"

[stop]
method = "drain"
grace = "30s"
"#;

#[test]
fn valid_document_accepted() {
    let settings = Options::load(&Source::new("retail.toml", VALID)).unwrap();
    assert_eq!(settings.service.as_str(), "retail");
    assert_eq!(settings.priority, Priority::Urgent);
    assert_eq!((settings.hosts, settings.max_unavailable), (12, 2));
    assert_eq!(settings.work.run_time, Duration::from_millis(60));
    assert_eq!(settings.stop.method, StopMethod::Drain);
    assert!(!settings.work.is_repeatable);
}

#[test]
fn errors_located() {
    let cases = [
        (
            "down-at-once = 2",
            "down-at-once = 13",
            "retail.toml:8: capacity.down-at-once",
            "0 to 12",
        ),
        ("hosts = 12", "hosts = -1", "retail.toml:7: hosts", "docs/SETTINGS.md"),
        ("\"60ms\"", "\"60\"", "retail.toml:12: work.run-time", "\"250ms\""),
        ("\"60ms\"", "\"6s\"", "retail.toml:12: work.run-time", "lengthen work.deadline"),
        ("\"5s\"", "\"5 parsecs\"", "retail.toml:13: work.deadline", "\"250ms\""),
        ("\"urgent\"", "\"now\"", "retail.toml:4: priority", "\"batch\""),
        ("\"drain\"", "\"kill\"", "retail.toml:16: stop.method", "\"checkpoint\""),
        ("service = \"retail\"", "service = \"Re tail\"", "retail.toml:1: service", "another name"),
        ("team = \"tills\"", "teem = \"tills\"", "retail.toml:2: teem", "docs/SETTINGS.md"),
        ("pool = \"retail\"\n", "", "missing field `pool`", "docs/SETTINGS.md"),
        ("[stop]", "[stop", "retail.toml:15", "docs/SETTINGS.md"),
    ];
    for (before, after, location, fix) in cases {
        let text = VALID.replacen(before, after, 1);
        let error = Options::load(&Source::new("retail.toml", &text)).unwrap_err().to_string();
        assert!(error.contains(location), "{after:?}: {error:?} does not name {location:?}");
        assert!(error.contains(fix), "{after:?}: {error:?} does not suggest {fix:?}");
    }
}

#[test]
fn malformed_input_survived() {
    fn never_panics(text: String) -> bool {
        let _ = Options::load(&Source::new("any", &text));
        let mutated = VALID.replacen("60ms", &text.replace('"', ""), 1);
        let _ = Options::load(&Source::new("any", &mutated));
        true
    }
    let mut check =
        quickcheck::QuickCheck::new().rng(quickcheck::Gen::from_size_and_seed(64, 7)).tests(500);
    check.quickcheck(never_panics as fn(String) -> bool);
}
