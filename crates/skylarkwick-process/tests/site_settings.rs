//! Site settings: accepted values, and the line, key and fix of each error.

use std::time::Duration;

use skylarkwick_process::settings::site::Settings;
use skylarkwick_version::source::Source;

const VALID: &str = r#"site = "test"

[latency]
between-data-centres = "1.5ms"
to-callers = "3ms"

[platform]
address = "127.0.0.1:7100"

[workers]
slots = 8
connections = 64
processors = 32
memory-mib = 65536

[[data-centres]]
name = "port-of-spain"
entries = [{ name = "pos-e1", caller = "127.0.0.1:7200", peer = "127.0.0.1:7300" }]
racks = [{ name = "pos-r1", workers = ["127.0.0.1:7400", "127.0.0.1:7401"] }]
"#;

#[test]
fn valid_site_accepted() {
    let settings = Settings::load(&Source::new("site.toml", VALID)).unwrap();
    assert_eq!(settings.latency_to_callers, Duration::from_millis(3));
    assert_eq!(settings.workers.len(), 2);
    assert!(settings.workers.keys().any(|host| host.as_str() == "pos-r1-h2"));
    assert_eq!(settings.worker_resources.millicores, 32_000);
    assert_eq!(settings.data_centres().len(), 1);
}

#[test]
fn errors_located() {
    let cases = [
        ("7401", "7400", "site.toml:19", "used twice, first on line 19"),
        ("7401", "7100", "site.toml:19", "used twice, first on line 8"),
        ("\"127.0.0.1:7100\"", "\"localhost:7100\"", "site.toml:8: platform.address", "IP address"),
        ("\"3ms\"", "\"3\"", "site.toml:5: latency.to-callers", "\"500us\""),
        ("slots = 8", "slots = 0", "site.toml:11: workers.slots", "at least 1"),
        ("slots = 8", "slots = \"8\"", "site.toml:11: slots", "docs/SETTINGS.md"),
        ("\"pos-r1\"", "\"pos-e1\"", "site.toml:19", "used twice"),
        ("[workers]", "[wokers]", "wokers", "docs/SETTINGS.md"),
    ];
    for (before, after, location, fix) in cases {
        let text = VALID.replacen(before, after, 1);
        let error = Settings::load(&Source::new("site.toml", &text)).unwrap_err().to_string();
        assert!(error.contains(location), "{after:?}: {error:?} does not name {location:?}");
        assert!(error.contains(fix), "{after:?}: {error:?} does not suggest {fix:?}");
    }
}
