//! Malformed input at each external interface of the process: parsing returns a value or an error
//! and never panics.

use geraniumrelay_wire::{
    Heartbeat, JobAnswer, JobRequest, PeerReply, PeerRequest, TaskAnswer, VmList, peer_request,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

use crate::{convert, handover_wire};

/// Seed of the generated messages; fixed, so that a failure can be reproduced.
const SEED: u64 = 1;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// Text fields of a message: well-formed, nearly well-formed or arbitrary.
fn field_text() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-z]{1,8}",
        "[a-z]{1,9}\\.[0-9a-f]{1,16}\\.[0-9a-f]{1,16}\\.[0-9a-f]{1,32}",
        Just("Completed".to_owned()),
        Just("127.0.0.1:1".to_owned()),
        ".{0,40}",
    ]
}

/// Converts a request as the peer server does.
fn read_request(req: PeerRequest) {
    match req.body {
        Some(peer_request::Body::Submit(submit)) => {
            let digest = submit.job.as_ref().map(convert::body_digest);
            assert_eq!(digest.is_some(), submit.job.is_some());
            submit.job.and_then(convert::job_spec);
        }
        Some(peer_request::Body::Heartbeat(heartbeat)) => drop(convert::peer_status(&heartbeat)),
        Some(peer_request::Body::HandOver(message)) => {
            drop(handover_wire::read_hand_over(message));
        }
        _ => {}
    }
}

/// JSON that resembles a submission or a VM list, deeply nested JSON, or arbitrary text.
fn json_text() -> impl Strategy<Value = String> {
    prop_oneof![
        (field_text(), field_text(), any::<i64>()).prop_map(|(service, payload, ms)| {
            let task = serde_json::json!({"payload": payload, "expected_ms": ms});
            serde_json::json!({"service": service, "kind": "score", "tasks": [task]}).to_string()
        }),
        (field_text(), field_text()).prop_map(|(name, address)| {
            let vm = serde_json::json!({"name": name, "role": "target", "address": address});
            serde_json::json!({"vms": [vm]}).to_string()
        }),
        Just("[".repeat(100_000)),
        ".{0,200}",
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_decode_or_return_an_error(
        bytes in prop::collection::vec(any::<u8>(), 0..300)
    ) {
        if let Ok(req) = PeerRequest::decode(bytes.as_slice()) {
            read_request(req);
        }
        if let Ok(reply) = PeerReply::decode(bytes.as_slice()) {
            drop(convert::read_peer_reply(reply));
        }
    }

    /// The message is truncated or has one byte changed.
    #[test]
    fn corrupt_peer_messages_decode_or_return_an_error(
        vm in field_text(), address in field_text(), at in 0..200_usize, byte in any::<u8>()
    ) {
        let heartbeat = Heartbeat { vm, address, incarnation: 1, ..Heartbeat::default() };
        let req = PeerRequest { body: Some(peer_request::Body::Heartbeat(heartbeat)) };
        let mut bytes = req.encode_to_vec();
        let at = at % bytes.len();
        if let Ok(req) = PeerRequest::decode(&bytes[..at]) {
            read_request(req);
        }
        bytes[at] = byte;
        if let Ok(req) = PeerRequest::decode(bytes.as_slice()) {
            read_request(req);
        }
    }

    #[test]
    fn arbitrary_job_answers_are_read_or_rejected(
        ticket in field_text(), verdict in field_text(), reason in field_text(),
        output in field_text()
    ) {
        let task = TaskAnswer { verdict: verdict.clone(), output, ..TaskAnswer::default() };
        let answer = JobAnswer { ticket, verdict, reason, tasks: vec![task], ..JobAnswer::default() };
        drop(convert::read_answer(answer));
    }

    #[test]
    fn arbitrary_json_parses_or_returns_an_error(text in json_text()) {
        if let Ok(job) = serde_json::from_str::<JobRequest>(&text) {
            let tasks = job.tasks.len();
            if let Some(job) = convert::job_spec(job) {
                prop_assert_eq!(job.tasks.len(), tasks);
            }
        }
        drop(serde_json::from_str::<VmList>(&text));
    }
}
