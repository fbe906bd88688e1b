//! Read-only reports for operators and metrics.

use std::time::Duration;

use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::modules::membership::PeerReport;
use crate::modules::policy::Policy;
use crate::modules::queue::{CLASSES, Queue};
use crate::modules::sheet::ServiceRule;
use crate::modules::slots::Tier;
use crate::modules::targets::Target;
use crate::names::ServiceName;
use crate::query::{
    JobReport, KindReport, Load, Report, ReportQuery, ServiceReport, StatusReport, TargetReport,
    TargetState,
};

impl<P: Policy> Dispatcher<P> {
    /// Creates the report that an operator queries.
    pub fn report(&self, cx: &Context<'_>, query: ReportQuery) -> Report {
        match query {
            ReportQuery::Status => Report::Status(self.status(cx)),
            ReportQuery::Services => Report::Services(self.services()),
            ReportQuery::Targets => Report::Targets(self.target_reports()),
            ReportQuery::Jobs { limit } => Report::Jobs(self.job_reports(cx, limit)),
        }
    }

    /// Load of this VM, for metrics.
    pub fn load(&self) -> Load {
        let queued = |urgency| {
            let tasks = self.queues.values().map(|queue| queue.tasks(urgency));
            (urgency, tasks.sum())
        };
        let services = || self.queues.keys().copied();
        Load {
            queued: CLASSES.map(queued),
            running: self.running.len(),
            assigned_slots: services()
                .map(|name| self.targets.assigned_slots(name))
                .sum(),
            usable_slots: services().map(|name| self.targets.usable(name)).sum(),
            free_slots: services()
                .map(|name| self.targets.free(name, Tier::Healthy))
                .sum(),
            ejected: self.targets.ejected(),
            limited_teams: self.queues.values().map(Queue::limited_teams).sum(),
        }
    }

    fn status(&self, cx: &Context<'_>) -> StatusReport {
        let own = PeerReport {
            status: self.own_status(),
            last_heartbeat_ago: Some(Duration::ZERO),
            is_live: true,
        };
        let mut peers: Vec<_> = self.membership.reports(cx).collect();
        peers.sort_by_key(|peer| (peer.status.data_centre, peer.status.vm));
        StatusReport {
            entries: std::iter::once(own).chain(peers).collect(),
            jobs: self.jobs.len(),
            targets: self.targets.len(),
        }
    }

    fn services(&self) -> Vec<ServiceReport> {
        let mut reports = Vec::new();
        for (name, rule) in &self.rules.services {
            let kinds = kind_reports(rule);
            reports.extend(service_reports(*name, rule, &kinds));
        }
        reports.sort_by_key(|report| (report.service, report.data_centre));
        reports
    }

    fn target_reports(&self) -> Vec<TargetReport> {
        let mut reports: Vec<_> = self.targets.iter().map(target_report).collect();
        reports.sort_by_key(|report| report.vm);
        reports
    }

    fn job_reports(&self, cx: &Context<'_>, limit: usize) -> Vec<JobReport> {
        let jobs = self.jobs.iter().take(limit);
        let reports = jobs.filter_map(|(key, job)| {
            Some(JobReport {
                progress: self.jobs.progress(key)?,
                service: job.service,
                urgency: job.urgency,
                due_in: job.deadline.saturating_duration_since(cx.now),
            })
        });
        reports.collect()
    }
}

fn kind_reports(rule: &ServiceRule) -> Vec<KindReport> {
    let kinds = rule.kinds.iter().map(|(kind, rule)| KindReport {
        kind: *kind,
        urgency: rule.urgency,
        is_idempotent: rule.is_idempotent,
        deadline: rule.deadline,
    });
    let mut kinds: Vec<_> = kinds.collect();
    kinds.sort_by_key(|report| report.kind);
    kinds
}

fn service_reports(
    service: ServiceName,
    rule: &ServiceRule,
    kinds: &[KindReport],
) -> impl Iterator<Item = ServiceReport> {
    rule.states.iter().map(move |(data_centre, state)| {
        let count = |counts: &crate::collections::Map<_, u32>| counts.get(data_centre).copied();
        ServiceReport {
            service,
            data_centre: *data_centre,
            state: *state,
            workers: count(&rule.workers).unwrap_or_default(),
            slots: count(&rule.slots).unwrap_or_default(),
            kinds: kinds.to_vec(),
        }
    })
}

fn target_report(target: &Target) -> TargetReport {
    let state = if !target.is_listed {
        TargetState::Gone
    } else if target.info.is_leaving {
        TargetState::Leaving
    } else if target.paused_until.is_some() {
        TargetState::Paused
    } else {
        TargetState::Open
    };
    TargetReport {
        vm: target.info.vm,
        service: target.info.service,
        address: target.info.address,
        state,
        running: target.in_use,
    }
}
