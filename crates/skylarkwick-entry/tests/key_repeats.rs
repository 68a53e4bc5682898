//! Keys and tickets shown again, here and at other entry hosts.

mod bench;

use bench::Bench;

#[test]
fn same_whole_answer() {
    let bench = Bench::start();
    let (one, two) = (bench.entry("e1"), bench.entry("e2"));
    let key = [("Idempotency-Key", "k1")];
    let first = bench.post(one.addresses.caller, "numbers", &key, "n1");
    assert_eq!(first.outcome, "done");
    for entry in [&one, &two, &one, &two] {
        let again = bench.post(entry.addresses.caller, "numbers", &key, "n1");
        assert_eq!((again.outcome, again.body), (first.outcome.clone(), first.body.clone()));
    }
    assert_eq!(bench.runs("n1"), 1);
    let other = bench.post(two.addresses.caller, "numbers", &key, "n2");
    assert_eq!((other.status, other.reason.as_str()), (422, "key-reused"));
    assert_eq!(bench.runs("n2"), 0);
    one.abort();
    two.abort();
}

#[test]
fn racing_entry_hosts() {
    let bench = Bench::start();
    let (one, two) = (bench.entry("e1"), bench.entry("e2"));
    let entries = [one.addresses.caller, two.addresses.caller];
    for round in 0..10 {
        let payload = format!("n{round}");
        std::thread::scope(|scope| {
            for number in 0..6 {
                let (bench, payload) = (&bench, &payload);
                scope.spawn(move || {
                    let key = [("Idempotency-Key", payload.as_str())];
                    let reply = bench.post(entries[number % 2], "numbers", &key, payload);
                    assert_eq!(reply.outcome, "done", "{}", reply.body);
                });
            }
        });
        assert_eq!(bench.runs(&payload), 1);
    }
    one.abort();
    two.abort();
}

#[test]
fn owner_gone_is_unknown() {
    let bench = Bench::start();
    let (one, two) = (bench.entry("e1"), bench.entry("e2"));
    let key = [("Idempotency-Key", "k1")];
    assert_eq!(bench.post(one.addresses.caller, "numbers", &key, "n1").outcome, "done");
    let unused = bench.ticket(one.addresses.caller);
    one.abort();
    let again = bench.post(two.addresses.caller, "numbers", &key, "n1");
    assert_eq!(again.outcome, "unknown", "{}", again.body);
    let ticket = [("Skylarkwick-Ticket", unused.as_str())];
    let spent = bench.post(two.addresses.caller, "numbers", &ticket, "n2");
    assert_eq!(spent.outcome, "unknown", "{}", spent.body);
    // The next run of the same entry host knows nothing of the old one's.
    let one = bench.entry("e1");
    let again = bench.post(one.addresses.caller, "numbers", &key, "n1");
    assert_eq!(again.reason, "owner-gone", "{}", again.body);
    let spent = bench.post(one.addresses.caller, "numbers", &ticket, "n2");
    assert_eq!(spent.reason, "owner-gone", "{}", spent.body);
    assert_eq!((bench.runs("n1"), bench.runs("n2")), (1, 0));
    one.abort();
    two.abort();
}

#[test]
fn tickets_without_platform() {
    let bench = Bench::start();
    let (one, two) = (bench.entry("e1"), bench.entry("e2"));
    bench.site.platform.table.switches.set(|faults| faults.is_out = true);
    let key = [("Idempotency-Key", "k1")];
    let refused = bench.post(one.addresses.caller, "numbers", &key, "n1");
    assert_eq!((refused.outcome.as_str(), refused.reason.as_str()), ("not-run", "platform-out"));
    let ticket = bench.ticket(one.addresses.caller);
    let ticket = [("Skylarkwick-Ticket", ticket.as_str())];
    for entry in [&two, &one, &two] {
        let reply = bench.post(entry.addresses.caller, "numbers", &ticket, "n1");
        assert_eq!(reply.outcome, "done", "{}", reply.body);
    }
    assert_eq!(bench.runs("n1"), 1);
    bench.site.platform.table.switches.set(|faults| faults.is_out = false);
    let after = bench.post(one.addresses.caller, "numbers", &key, "n2");
    assert_eq!(after.reason, "key-reused", "the refused key is bound to its first request");
    one.abort();
    two.abort();
}

#[test]
fn lost_claim_answers() {
    let bench = Bench::start();
    let entry = bench.entry("e1");
    bench.site.platform.table.switches.set(|faults| faults.lost_answer_every = 2);
    for number in 0..20 {
        let payload = format!("n{number}");
        let key = [("Idempotency-Key", payload.as_str())];
        let reply = bench.post(entry.addresses.caller, "numbers", &key, &payload);
        assert_eq!(reply.outcome, "done", "{}", reply.body);
        assert_eq!(bench.runs(&payload), 1);
    }
    entry.abort();
}
