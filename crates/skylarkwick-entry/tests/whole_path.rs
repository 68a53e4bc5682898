//! Requests over sockets, from applying a document to the answer of the backend server.

mod harness;

use harness::Harness;

#[test]
fn request_answered() {
    let harness = Harness::start();
    let entry = harness.start_entry("e1");
    let caller = entry.addresses.caller;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let reply = harness.post(caller, "exports", &[("traceparent", trace)], "page 7");
    assert_eq!((reply.status, reply.outcome.as_str()), (200, "done"));
    assert!(reply.body.contains("\"payload\":\"page 7\""), "{}", reply.body);
    assert!(reply.traceparent.starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
    assert_eq!(harness.run_count("page 7"), 1);
    let keyed = harness.post(caller, "numbers", &[("Idempotency-Key", "k1")], "invoice 1");
    assert_eq!(keyed.outcome, "done");
    assert_eq!(harness.run_count("invoice 1"), 1);
    entry.abort();
}

#[test]
fn answers_not_swapped() {
    let harness = Harness::start();
    let entry = harness.start_entry("e1");
    let caller = entry.addresses.caller;
    std::thread::scope(|scope| {
        for caller_number in 0..8 {
            let harness = &harness;
            scope.spawn(move || {
                for number in 0..20 {
                    let payload = format!("{caller_number}-{number}");
                    let reply = harness.post(caller, "exports", &[], &payload);
                    let own = format!("\"payload\":\"{payload}\"");
                    assert!(reply.body.contains(&own), "{payload}: {}", reply.body);
                }
            });
        }
    });
    entry.abort();
}

#[test]
fn new_service_served() {
    let harness = Harness::start();
    let entry = harness.start_entry("e1");
    let caller = entry.addresses.caller;
    assert_eq!(harness.post(caller, "proofs", &[], "p").reason, "no-service");
    harness.apply_document("proofs", true);
    harness::wait_until(|| harness.post(caller, "proofs", &[], "p").reason == "no-host");
    assert_eq!(harness.run_count("p"), 0);
    entry.abort();
}
