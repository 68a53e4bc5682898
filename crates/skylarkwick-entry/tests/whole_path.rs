//! The whole path over sockets, from a document to the answer of its request.

mod bench;

use bench::Bench;

#[test]
fn request_end_to_end() {
    let bench = Bench::start();
    let entry = bench.entry("e1");
    let caller = entry.addresses.caller;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let reply = bench.post(caller, "exports", &[("traceparent", trace)], "page 7");
    assert_eq!((reply.status, reply.outcome.as_str()), (200, "done"));
    assert!(reply.body.contains("\"payload\":\"page 7\""), "{}", reply.body);
    assert!(reply.traceparent.starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
    assert_eq!(bench.runs("page 7"), 1);
    let keyed = bench.post(caller, "numbers", &[("Idempotency-Key", "k1")], "invoice 1");
    assert_eq!(keyed.outcome, "done");
    assert_eq!(bench.runs("invoice 1"), 1);
    entry.abort();
}

#[test]
fn own_answers_only() {
    let bench = Bench::start();
    let entry = bench.entry("e1");
    let caller = entry.addresses.caller;
    std::thread::scope(|scope| {
        for caller_number in 0..8 {
            let bench = &bench;
            scope.spawn(move || {
                for number in 0..20 {
                    let payload = format!("{caller_number}-{number}");
                    let reply = bench.post(caller, "exports", &[], &payload);
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
    let bench = Bench::start();
    let entry = bench.entry("e1");
    let caller = entry.addresses.caller;
    assert_eq!(bench.post(caller, "proofs", &[], "p").reason, "no-service");
    bench.apply("proofs", true);
    bench::wait_until(|| bench.post(caller, "proofs", &[], "p").reason == "no-host");
    assert_eq!(bench.runs("p"), 0);
    entry.abort();
}
