//! Repeated keys and tickets, at the same and at other entry hosts: the work runs at
//! most once, and repeats get the same answer.

mod harness;

use harness::Harness;

#[test]
fn repeated_keys_answered() {
    let harness = Harness::start();
    let (one, two) = (harness.start_entry("e1"), harness.start_entry("e2"));
    let key = [("Idempotency-Key", "k1")];
    let first = harness.post(one.addresses.caller, "numbers", &key, "n1");
    assert_eq!(first.outcome, "done");
    for entry in [&one, &two, &one, &two] {
        let repeated = harness.post(entry.addresses.caller, "numbers", &key, "n1");
        assert_eq!((repeated.outcome, repeated.body), (first.outcome.clone(), first.body.clone()));
    }
    assert_eq!(harness.run_count("n1"), 1);
    let other = harness.post(two.addresses.caller, "numbers", &key, "n2");
    assert_eq!((other.status, other.reason.as_str()), (422, "key-reused"));
    assert_eq!(harness.run_count("n2"), 0);
    one.abort();
    two.abort();
}

#[test]
fn concurrent_keys_coalesced() {
    let harness = Harness::start();
    let (one, two) = (harness.start_entry("e1"), harness.start_entry("e2"));
    let entries = [one.addresses.caller, two.addresses.caller];
    for round in 0..10 {
        let payload = format!("n{round}");
        std::thread::scope(|scope| {
            for number in 0..6 {
                let (harness, payload) = (&harness, &payload);
                scope.spawn(move || {
                    let key = [("Idempotency-Key", payload.as_str())];
                    let reply = harness.post(entries[number % 2], "numbers", &key, payload);
                    assert_eq!(reply.outcome, "done", "{}", reply.body);
                });
            }
        });
        assert_eq!(harness.run_count(&payload), 1);
    }
    one.abort();
    two.abort();
}

#[test]
fn gone_owner_unknown() {
    let harness = Harness::start();
    let (one, two) = (harness.start_entry("e1"), harness.start_entry("e2"));
    let key = [("Idempotency-Key", "k1")];
    assert_eq!(harness.post(one.addresses.caller, "numbers", &key, "n1").outcome, "done");
    let unused = harness.issue_ticket(one.addresses.caller);
    one.abort();
    let repeated = harness.post(two.addresses.caller, "numbers", &key, "n1");
    assert_eq!(repeated.outcome, "unknown", "{}", repeated.body);
    let ticket = [("Skylarkwick-Ticket", unused.as_str())];
    let redeemed = harness.post(two.addresses.caller, "numbers", &ticket, "n2");
    assert_eq!(redeemed.outcome, "unknown", "{}", redeemed.body);
    // A restarted entry host has lost the claims and tickets of its previous incarnation.
    let one = harness.start_entry("e1");
    let repeated = harness.post(one.addresses.caller, "numbers", &key, "n1");
    assert_eq!(repeated.reason, "owner-gone", "{}", repeated.body);
    let redeemed = harness.post(one.addresses.caller, "numbers", &ticket, "n2");
    assert_eq!(redeemed.reason, "owner-gone", "{}", redeemed.body);
    assert_eq!((harness.run_count("n1"), harness.run_count("n2")), (1, 0));
    one.abort();
    two.abort();
}

#[test]
fn tickets_survive_outage() {
    let harness = Harness::start();
    let (one, two) = (harness.start_entry("e1"), harness.start_entry("e2"));
    harness.site.platform.table.switches.update(|faults| faults.is_unavailable = true);
    let key = [("Idempotency-Key", "k1")];
    let refused = harness.post(one.addresses.caller, "numbers", &key, "n1");
    assert_eq!((refused.outcome.as_str(), refused.reason.as_str()), ("not-run", "platform-out"));
    let ticket = harness.issue_ticket(one.addresses.caller);
    let ticket = [("Skylarkwick-Ticket", ticket.as_str())];
    for entry in [&two, &one, &two] {
        let reply = harness.post(entry.addresses.caller, "numbers", &ticket, "n1");
        assert_eq!(reply.outcome, "done", "{}", reply.body);
    }
    assert_eq!(harness.run_count("n1"), 1);
    harness.site.platform.table.switches.update(|faults| faults.is_unavailable = false);
    let after = harness.post(one.addresses.caller, "numbers", &key, "n2");
    assert_eq!(after.reason, "key-reused", "the refused key is bound to its first request");
    one.abort();
    two.abort();
}

#[test]
fn lost_answers_resolved() {
    let harness = Harness::start();
    let entry = harness.start_entry("e1");
    harness.site.platform.table.switches.update(|faults| faults.lost_answer_every = 2);
    for number in 0..20 {
        let payload = format!("n{number}");
        let key = [("Idempotency-Key", payload.as_str())];
        let reply = harness.post(entry.addresses.caller, "numbers", &key, &payload);
        assert_eq!(reply.outcome, "done", "{}", reply.body);
        assert_eq!(harness.run_count(&payload), 1);
    }
    entry.abort();
}
