//! Conversions between the generated wire types and the types of the dispatcher.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumrelay_core::command::TaskSpec;
use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::modules::peer_digest::PeerDigest;
use geraniumrelay_core::{
    Answer, Incarnation, JobProgress, JobSpec, PeerCall, Reason, Rejection, Reply, TaskResult,
    Ticket,
};
use geraniumrelay_wire::{
    ForwardCancel, ForwardQuery, ForwardSubmit, Heartbeat, JobAnswer, JobRequest, JobState,
    PeerReply, PeerRequest, Problem, TaskAnswer, TaskRequest, peer_reply, peer_request,
};
use prost::Message;
use siphasher::sip128::{Hasher128, SipHasher24};

use crate::convert_loans;
use crate::handover_wire;

/// Status of an answer with every task completed.
const COMPLETE: &str = "complete";

/// Status of any other answer.
const FAILED: &str = "failed";

/// Status of a submission that has no answer yet.
const IN_FLIGHT: &str = "in-flight";

/// Body digest of a submission: a hash of its protobuf form, so that it is the same whether the
/// submission arrived as JSON or from a peer.
pub fn body_digest(req: &JobRequest) -> u128 {
    let mut hasher = SipHasher24::new();
    std::hash::Hasher::write(&mut hasher, &req.encode_to_vec());
    hasher.finish128().as_u128()
}

/// Text form of a digest: 32 hexadecimal digits.
pub fn digest_text(digest: u128) -> String {
    format!("{digest:032x}")
}

/// Reads a submission; `None` if the service, kind or team is not a valid name.
pub fn job_spec(req: JobRequest) -> Option<JobSpec> {
    let team = match req.team {
        Some(team) => Some(team.parse().ok()?),
        None => None,
    };
    let tasks = req.tasks.into_iter().map(|task| TaskSpec {
        payload: task.payload.into(),
        expected_ms: task.expected_ms,
    });
    Some(JobSpec {
        service: req.service.parse().ok()?,
        kind: req.kind.parse().ok()?,
        team,
        deadline_ms: req.deadline_ms,
        tasks: tasks.collect(),
    })
}

/// Writes a submission, as it is forwarded to a peer.
pub fn job_request(job: &JobSpec) -> JobRequest {
    let tasks = job.tasks.iter().map(|task| TaskRequest {
        payload: task.payload.as_ref().to_owned(),
        expected_ms: task.expected_ms,
    });
    JobRequest {
        service: job.service.to_string(),
        kind: job.kind.to_string(),
        team: job.team.map(|team| team.to_string()),
        deadline_ms: job.deadline_ms,
        tasks: tasks.collect(),
    }
}

/// Writes an answer; the next ticket is left empty.
pub fn job_answer(ticket: Ticket, answer: &Answer) -> JobAnswer {
    JobAnswer {
        ticket: ticket.to_string(),
        status: if answer.is_complete() {
            COMPLETE
        } else {
            FAILED
        }
        .to_owned(),
        verdict: answer.verdict.to_string(),
        tasks: task_answers(answer),
        reason: reason_text(answer.reason),
        next_ticket: String::new(),
    }
}

/// Writes the task results of an answer, indexed from 0.
pub fn task_answers(answer: &Answer) -> Vec<TaskAnswer> {
    let tasks = (0..).zip(&answer.tasks).map(|(index, task)| TaskAnswer {
        index,
        verdict: task.verdict.to_string(),
        output: task.output.clone(),
    });
    tasks.collect()
}

/// Writes the reason why a job failed; empty for `None`.
pub fn reason_text(reason: Option<Reason>) -> String {
    reason.map(|reason| reason.to_string()).unwrap_or_default()
}

/// Reads the reason why a job failed; `None` for an empty text.
///
/// # Errors
/// A text that is not a known reason.
pub fn read_reason(text: &str) -> Result<Option<Reason>, derive_more::FromStrError> {
    match text {
        "" => Ok(None),
        text => text.parse().map(Some),
    }
}

/// Reads the task results of an answer; `None` if one of them is malformed.
pub fn read_tasks(tasks: Vec<TaskAnswer>) -> Option<Vec<TaskResult>> {
    let tasks = tasks.into_iter().map(|task| {
        Some(TaskResult {
            verdict: task.verdict.parse().ok()?,
            output: task.output,
        })
    });
    tasks.collect()
}

/// Writes the progress of a submission that is in flight.
pub fn job_state(progress: JobProgress) -> JobState {
    JobState {
        ticket: progress.ticket.to_string(),
        status: IN_FLIGHT.to_owned(),
        queued: progress.queued,
        running: progress.running,
        ended: progress.ended,
    }
}

/// Writes a rejection as a problem without HTTP status; the retry time is in whole seconds, at least
/// 1, and 0 where the rejection has none.
pub fn problem(rejection: Rejection) -> Problem {
    let retry_after = rejection
        .retry_after
        .map_or(0, |after| after.as_secs().max(1));
    Problem {
        verdict: rejection.verdict.to_string(),
        reason: rejection.reason.to_string(),
        retry_after_s: u32::try_from(retry_after).unwrap_or(u32::MAX),
        ..Problem::default()
    }
}

/// Writes a reply to another entry VM.
pub fn peer_reply(reply: Reply) -> PeerReply {
    let body = match reply {
        Reply::Answer { ticket, answer } => peer_reply::Body::Answer(job_answer(ticket, &answer)),
        Reply::Progress(progress) => peer_reply::Body::State(job_state(progress)),
        Reply::Rejected(rejection) => peer_reply::Body::Problem(problem(rejection)),
        Reply::HandOver(reply) => peer_reply::Body::HandOver(handover_wire::hand_over_reply(reply)),
        Reply::Lent(grant) => peer_reply::Body::Grant(convert_loans::slot_grant(&grant)),
    };
    PeerReply { body: Some(body) }
}

/// Reads the reply of another entry VM to a forwarded request; `None` if the reply is malformed or
/// belongs to another kind of request.
pub fn read_peer_reply(reply: PeerReply) -> Option<Reply> {
    match reply.body? {
        peer_reply::Body::Answer(answer) => read_answer(answer),
        peer_reply::Body::State(state) => Some(Reply::Progress(JobProgress {
            ticket: state.ticket.parse().ok()?,
            queued: state.queued,
            running: state.running,
            ended: state.ended,
        })),
        peer_reply::Body::Problem(problem) => Some(Reply::Rejected(Rejection {
            verdict: problem.verdict.parse().ok()?,
            reason: problem.reason.parse().ok()?,
            retry_after: read_retry_after(problem.retry_after_s),
        })),
        peer_reply::Body::Grant(_)
        | peer_reply::Body::Heartbeat(_)
        | peer_reply::Body::Sheet(_)
        | peer_reply::Body::HandOver(_)
        | peer_reply::Body::Targets(_) => None,
    }
}

fn read_retry_after(seconds: u32) -> Option<Duration> {
    (seconds > 0).then(|| Duration::from_secs(u64::from(seconds)))
}

/// Reads an answer; `None` if it is malformed.
pub fn read_answer(answer: JobAnswer) -> Option<Reply> {
    let read = Answer {
        verdict: answer.verdict.parse().ok()?,
        reason: read_reason(&answer.reason).ok()?,
        tasks: read_tasks(answer.tasks)?,
    };
    Some(Reply::Answer {
        ticket: answer.ticket.parse().ok()?,
        answer: read.into(),
    })
}

/// Writes a request that is forwarded to the owner of its ticket.
pub fn peer_request(call: &PeerCall) -> PeerRequest {
    let ticket = call.ticket().to_string();
    let body = match call {
        PeerCall::Submit { job, .. } => peer_request::Body::Submit(ForwardSubmit {
            ticket,
            job: Some(job_request(job)),
        }),
        PeerCall::Watch { wait_ms, .. } => peer_request::Body::Query(ForwardQuery {
            ticket,
            wait_ms: *wait_ms,
        }),
        PeerCall::Cancel { .. } => peer_request::Body::Cancel(ForwardCancel { ticket }),
    };
    PeerRequest { body: Some(body) }
}

/// Writes a heartbeat with the status of an entry VM.
pub fn heartbeat(status: &PeerStatus) -> Heartbeat {
    Heartbeat {
        incarnation: status.incarnation.map_or(0, |incarnation| incarnation.0),
        vm: status.vm.to_string(),
        data_centre: status.data_centre.to_string(),
        revision: status.revision,
        leaving: status.is_leaving,
        held: status.held.iter().map(|held| held.0).collect(),
        address: status.address.to_string(),
        spare: convert_loans::spare_slots(&status.spare),
        ..Heartbeat::default()
    }
}

/// Writes the reply to a heartbeat, with the peer digest if the sender is in another data centre.
pub fn heartbeat_reply(status: &PeerStatus, digest: Option<&PeerDigest>) -> Heartbeat {
    let reply = heartbeat(status);
    let Some(digest) = digest else {
        return reply;
    };
    Heartbeat {
        digest: digest.hash,
        lowest_revision: digest.lowest_revision,
        peers: digest.peers.iter().map(heartbeat).collect(),
        ..reply
    }
}

/// Reads the peer digest of a heartbeat reply; `None` if it is absent or malformed.
pub fn read_digest(reply: &Heartbeat) -> Option<PeerDigest> {
    let peers = reply.peers.iter().map(peer_status).collect::<Option<_>>()?;
    let hash = reply.digest;
    (hash != 0).then_some(PeerDigest {
        hash,
        lowest_revision: reply.lowest_revision,
        peers,
    })
}

/// Reads the status of a peer from its heartbeat; `None` if the heartbeat is malformed.
pub fn peer_status(heartbeat: &Heartbeat) -> Option<PeerStatus> {
    let address: SocketAddr = heartbeat.address.parse().ok()?;
    Some(PeerStatus {
        vm: heartbeat.vm.parse().ok()?,
        data_centre: heartbeat.data_centre.parse().ok()?,
        address,
        incarnation: Some(Incarnation(heartbeat.incarnation)),
        revision: heartbeat.revision,
        is_leaving: heartbeat.leaving,
        held: heartbeat.held.iter().copied().map(Incarnation).collect(),
        spare: convert_loans::read_spare_slots(&heartbeat.spare),
    })
}
