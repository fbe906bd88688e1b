//! Texts of public items that metrics and the log print.

use geraniumrelay_core::effect::HandOverStage;
use geraniumrelay_core::leased::{
    EndEvidence, InstanceSource, StartReply, StopCause, WorkerCondition,
};

#[test]
fn hand_over_stages_keep_their_metric_labels() {
    let labels = [
        (HandOverStage::Begun, "begun"),
        (HandOverStage::NoSuccessor, "no-heir"),
        (HandOverStage::Acknowledged, "acknowledged"),
        (HandOverStage::Failed, "failed"),
        (HandOverStage::Received, "taken"),
    ];
    for (stage, label) in labels {
        assert_eq!(stage.to_string(), label);
    }
}

/// The log prints these texts.
#[test]
fn start_replies_keep_their_texts() {
    let texts = [
        (StartReply::Accepted, "Accepted"),
        (StartReply::Fenced, "Fenced"),
        (StartReply::Outdated, "Outdated"),
        (StartReply::TooLate, "TooLate"),
        (StartReply::NoRoom, "NoRoom"),
        (StartReply::Refused, "Refused"),
        (StartReply::OtherInstance, "OtherLife"),
        (StartReply::NotSent, "NotSent"),
        (StartReply::Unanswered, "Unanswered"),
    ];
    for (reply, text) in texts {
        assert_eq!(reply.to_string(), text);
    }
}

/// The log prints these texts.
#[test]
fn stop_causes_keep_their_texts() {
    let texts = [
        (StopCause::Stalled, "stalled"),
        (StopCause::SlowWorker, "slow-worker"),
        (StopCause::Restarted, "restarted"),
        (StopCause::OrderUnanswered, "order-unanswered"),
        (StopCause::Unclaimed, "orphan"),
        (StopCause::EpochUnconfirmed, "epoch-unconfirmed"),
    ];
    for (cause, text) in texts {
        assert_eq!(cause.to_string(), text);
    }
}

/// The log prints these texts.
#[test]
fn end_evidence_keeps_its_texts() {
    let texts = [
        (EndEvidence::Listed, "listed"),
        (EndEvidence::NotListed, "not-listed"),
        (EndEvidence::NotStarted, "not-started"),
        (EndEvidence::LeaseLapsed, "lease-lapsed"),
        (EndEvidence::OtherInstance, "other-instance"),
    ];
    for (evidence, text) in texts {
        assert_eq!(evidence.to_string(), text);
    }
}

/// The log prints these texts.
#[test]
fn instance_sources_keep_their_texts() {
    let texts = [
        (InstanceSource::Entry, "entry"),
        (InstanceSource::Report, "report"),
        (InstanceSource::RefusedCall, "refused-call"),
    ];
    for (source, text) in texts {
        assert_eq!(source.to_string(), text);
    }
}

/// The log prints these texts.
#[test]
fn worker_conditions_keep_their_texts() {
    let texts = [
        (WorkerCondition::Responsive, "answers"),
        (WorkerCondition::Unresponsive, "silent"),
        (WorkerCondition::Faulty, "faulty"),
        (WorkerCondition::Restarted, "new-life"),
        (WorkerCondition::FollowsHigherToken, "taken"),
        (WorkerCondition::StaleEnds, "void-ends"),
    ];
    for (condition, text) in texts {
        assert_eq!(condition.to_string(), text);
    }
}
