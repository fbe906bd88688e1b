//! Messages as they may arrive at each border of the process: a value or an error, never a panic.

use geraniumrelay_wire::{
    Heartbeat, JobAnswer, JobRequest, PeerReply, PeerRequest, TaskAnswer, VmList, peer_request,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

use crate::{convert, handover_wire};

/// Messages follow from it.
const SEED: u64 = 1;

fn cfg() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// Texts of a message: right, nearly right, or anything.
fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-z]{1,8}",
        "[a-z]{1,9}\\.[0-9a-f]{1,16}\\.[0-9a-f]{1,16}\\.[0-9a-f]{1,32}",
        Just("Completed".to_owned()),
        Just("127.0.0.1:1".to_owned()),
        ".{0,40}",
    ]
}

fn read_request(req: PeerRequest) {
    match req.body {
        Some(peer_request::Body::Submit(submit)) => {
            let digest = submit.job.as_ref().map(convert::body_digest);
            assert_eq!(digest.is_some(), submit.job.is_some());
            submit.job.and_then(convert::job_spec);
        }
        Some(peer_request::Body::Heartbeat(beat)) => drop(convert::peer_status(&beat)),
        Some(peer_request::Body::HandOver(message)) => {
            drop(handover_wire::read_hand_over(message));
        }
        _ => {}
    }
}

/// JSON that is nearly a submission or a VM list.
fn json() -> impl Strategy<Value = String> {
    prop_oneof![
        (text(), text(), any::<i64>()).prop_map(|(service, payload, ms)| {
            let task = serde_json::json!({"payload": payload, "expected_ms": ms});
            serde_json::json!({"service": service, "kind": "score", "tasks": [task]}).to_string()
        }),
        (text(), text()).prop_map(|(name, address)| {
            let vm = serde_json::json!({"name": name, "role": "target", "address": address});
            serde_json::json!({"vms": [vm]}).to_string()
        }),
        Just("[".repeat(100_000)),
        ".{0,200}",
    ]
}

proptest! {
    #![proptest_config(cfg())]

    #[test]
    fn any_bytes_are_a_peer_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(req) = PeerRequest::decode(bytes.as_slice()) {
            read_request(req);
        }
        if let Ok(reply) = PeerReply::decode(bytes.as_slice()) {
            drop(convert::read_peer_reply(reply));
        }
    }

    /// A message that is cut off or has one byte changed.
    #[test]
    fn a_damaged_peer_message_is_read_or_refused(
        vm in text(), address in text(), at in 0..200_usize, byte in any::<u8>()
    ) {
        let beat = Heartbeat { vm, address, incarnation: 1, ..Heartbeat::default() };
        let req = PeerRequest { body: Some(peer_request::Body::Heartbeat(beat)) };
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
    fn any_answer_of_a_peer_is_read_or_refused(
        ticket in text(), verdict in text(), reason in text(), output in text()
    ) {
        let task = TaskAnswer { verdict: verdict.clone(), output, ..TaskAnswer::default() };
        let answer = JobAnswer { ticket, verdict, reason, tasks: vec![task], ..JobAnswer::default() };
        drop(convert::read_answer(answer));
    }

    #[test]
    fn any_json_is_a_value_or_an_error(text in json()) {
        if let Ok(job) = serde_json::from_str::<JobRequest>(&text) {
            let tasks = job.tasks.len();
            if let Some(job) = convert::job_spec(job) {
                prop_assert_eq!(job.tasks.len(), tasks);
            }
        }
        drop(serde_json::from_str::<VmList>(&text));
    }
}
