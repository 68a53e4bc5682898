//! Requests that are refused before they run: invalid ones, and ones whose deadline
//! is too short. The reply has to say that the work did not run.

mod harness;

use harness::Harness;

/// Case name, service, headers, body, expected status, expected reason.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

#[test]
fn refusal_table() {
    let harness = Harness::start();
    let entry = harness.start_entry("e1");
    let caller = entry.addresses.caller;
    let long_key = "k".repeat(256);
    let long_body = "x".repeat((1 << 20) + 1);
    let cases: [Case<'_>; 13] = [
        ("unknown service", "nothing", &[], "{}", 404, "no-service"),
        ("malformed service", "No%20thing", &[], "{}", 400, "invalid-request"),
        ("no key", "numbers", &[], "{}", 400, "no-key"),
        ("empty key", "numbers", &[("Idempotency-Key", "")], "{}", 400, "invalid-request"),
        ("long key", "numbers", &[("Idempotency-Key", &long_key)], "{}", 400, "invalid-request"),
        ("blank in key", "numbers", &[("Idempotency-Key", "a b")], "{}", 400, "invalid-request"),
        (
            "malformed ticket",
            "numbers",
            &[("Skylarkwick-Ticket", "x")],
            "{}",
            400,
            "invalid-request",
        ),
        (
            "key and ticket",
            "numbers",
            &[("Idempotency-Key", "k"), ("Skylarkwick-Ticket", "e1_1_1")],
            "{}",
            400,
            "invalid-request",
        ),
        ("content type", "exports", &[("Content-Type", "image/png")], "{}", 400, "invalid-request"),
        (
            "no deadline",
            "exports",
            &[("Skylarkwick-Deadline-Ms", "0")],
            "{}",
            400,
            "invalid-request",
        ),
        (
            "word deadline",
            "exports",
            &[("Skylarkwick-Deadline-Ms", "soon")],
            "{}",
            400,
            "invalid-request",
        ),
        ("malformed kind", "exports", &[("Skylarkwick-Kind", "A B")], "{}", 400, "invalid-request"),
        ("over-long body", "exports", &[], &long_body, 400, "invalid-request"),
    ];
    for (case, service, headers, body, status, reason) in cases {
        let reply = harness.send(caller, service, headers, body);
        assert_eq!(reply.status, status, "{case}: {}", reply.body);
        assert_eq!(reply.outcome, "not-run", "{case}");
        assert_eq!(reply.reason, reason, "{case}: {}", reply.body);
        assert!(reply.body.contains("\"outcome\":\"not-run\""), "{case}");
    }
    assert_eq!(harness.site.ledger.runs().iter().filter(|run| run.payload != "warm-up").count(), 0);
    entry.abort();
}

#[test]
fn short_deadline_refused() {
    let harness = Harness::start();
    let entry = harness.start_entry("e1");
    let caller = entry.addresses.caller;
    let reply = harness.post(caller, "exports", &[("Skylarkwick-Deadline-Ms", "1")], "p");
    assert_eq!((reply.outcome.as_str(), reply.reason.as_str()), ("not-run", "too-late"));
    assert_eq!(harness.run_count("p"), 0);
    entry.abort();
}
