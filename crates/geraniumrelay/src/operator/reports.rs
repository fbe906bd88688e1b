//! Operators' queries.

use std::time::Duration;

use geraniumrelay_core::Clock;
use geraniumrelay_core::modules::membership::PeerReport;
use geraniumrelay_core::query::{self, KindReport, Report, ReportQuery};
use geraniumrelay_platform::{PlatformClient, SheetStore};
use geraniumrelay_wire as wire;
use rouille::{Request, Response};

use crate::operator::problem::OperatorProblem;
use crate::operator::server::OperatorApi;

/// Maximum wait for a report of the decision thread.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of jobs listed if the request sets no limit.
const DEFAULT_JOB_LIMIT: usize = 100;

/// Maximum number of jobs or audit entries in one response.
const MAX_LIST_LIMIT: usize = 1_000;

impl<C: Clock> OperatorApi<C> {
    /// `GET /v1/operator/status`
    pub(super) fn status(&self) -> Result<Response, OperatorProblem> {
        let Report::Status(report) = self.ask(ReportQuery::Status)? else {
            return Err(unexpected_report());
        };
        let expires = humantime::format_rfc3339_seconds(self.certificate_expiry);
        Ok(Response::json(&wire::StatusReport {
            vm: self.vm.to_string(),
            revision: report.entries.first().map_or(0, |own| own.status.revision),
            platform_ms_ago: self.contact.since_last_answer(&self.clock).map(millis),
            certificate_expires: expires.to_string(),
            jobs: report.jobs as u64,
            targets: report.targets as u64,
            entries: report.entries.iter().map(entry_status).collect(),
        }))
    }

    /// `GET /v1/operator/services`
    pub(super) fn services(&self) -> Result<Response, OperatorProblem> {
        let Report::Services(reports) = self.ask(ReportQuery::Services)? else {
            return Err(unexpected_report());
        };
        Ok(Response::json(&wire::ServicesReport {
            revision: self.sheets.revision(),
            services: reports.iter().map(service_report).collect(),
        }))
    }

    /// `GET /v1/operator/targets`
    pub(super) fn targets(&self) -> Result<Response, OperatorProblem> {
        let Report::Targets(reports) = self.ask(ReportQuery::Targets)? else {
            return Err(unexpected_report());
        };
        Ok(Response::json(&wire::TargetsReport {
            entry: self.vm.to_string(),
            targets: reports.iter().map(target_report).collect(),
        }))
    }

    /// `GET /v1/operator/jobs?limit=N`
    pub(super) fn jobs(&self, req: &Request) -> Result<Response, OperatorProblem> {
        let limit = parse_param(req, "limit", DEFAULT_JOB_LIMIT)?.min(MAX_LIST_LIMIT);
        let Report::Jobs(reports) = self.ask(ReportQuery::Jobs { limit })? else {
            return Err(unexpected_report());
        };
        let Report::Status(status) = self.ask(ReportQuery::Status)? else {
            return Err(unexpected_report());
        };
        Ok(Response::json(&wire::JobsReport {
            entry: self.vm.to_string(),
            total: status.jobs as u64,
            jobs: reports.iter().map(job_report).collect(),
        }))
    }

    /// `GET /v1/operator/audit?after=REVISION&limit=N`
    pub(super) fn audit(&self, req: &Request) -> Result<Response, OperatorProblem> {
        let after = parse_param(req, "after", 0)?;
        let limit = parse_param(req, "limit", MAX_LIST_LIMIT)?.min(MAX_LIST_LIMIT);
        let client = PlatformClient::new(self.platform.clone());
        let limit = u32::try_from(limit).unwrap_or(u32::MAX);
        let entries = SheetStore::new(&client).audit(after, limit)?;
        Ok(Response::json(&wire::AuditTrail { entries }))
    }

    fn ask(&self, query: ReportQuery) -> Result<Report, OperatorProblem> {
        let overloaded = || OperatorProblem::new(503, "overloaded", "this entry VM is too busy");
        let rx = self
            .decision
            .query_report(query)
            .map_err(|_| overloaded())?;
        rx.recv_timeout(REPORT_TIMEOUT).map_err(|_| overloaded())
    }
}

fn parse_param<T: std::str::FromStr>(
    req: &Request,
    name: &str,
    default: T,
) -> Result<T, OperatorProblem> {
    let Some(text) = req.get_param(name) else {
        return Ok(default);
    };
    let detail = format!("{name} is a whole number");
    text.parse()
        .map_err(|_| OperatorProblem::new(400, "bad-parameter", detail))
}

fn unexpected_report() -> OperatorProblem {
    OperatorProblem::new(500, "unexpected-answer", "the answer is of another kind")
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn entry_status(report: &PeerReport) -> wire::EntryStatus {
    wire::EntryStatus {
        vm: report.status.vm.to_string(),
        data_centre: report.status.data_centre.to_string(),
        revision: report.status.revision,
        reached: report.is_live,
        leaving: report.status.is_leaving,
        heard_ms_ago: report.last_heartbeat_ago.map(millis),
    }
}

fn service_report(report: &query::ServiceReport) -> wire::ServiceReport {
    wire::ServiceReport {
        service: report.service.to_string(),
        data_centre: report.data_centre.to_string(),
        state: report.state.to_string(),
        workers: report.workers,
        slots: report.slots,
        kinds: report.kinds.iter().map(kind_report).collect(),
    }
}

fn kind_report(report: &KindReport) -> wire::KindReport {
    wire::KindReport {
        kind: report.kind.to_string(),
        urgency: report.urgency.to_string(),
        idempotent: report.is_idempotent,
        deadline_ms: millis(report.deadline),
    }
}

fn target_report(report: &query::TargetReport) -> wire::TargetReport {
    wire::TargetReport {
        vm: report.vm.to_string(),
        service: report.service.to_string(),
        address: report.address.to_string(),
        state: report.state.to_string(),
        running: report.running,
    }
}

fn job_report(report: &query::JobReport) -> wire::JobReport {
    wire::JobReport {
        ticket: report.progress.ticket.to_string(),
        service: report.service.to_string(),
        urgency: report.urgency.to_string(),
        queued: report.progress.queued,
        running: report.progress.running,
        ended: report.progress.ended,
        due_in_ms: millis(report.due_in),
    }
}
