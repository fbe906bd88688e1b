//! Callers that submit jobs to any entry VM and resend jobs without an answer.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use geraniumrelay_adapter::http::{Call, Limits};
use geraniumrelay_adapter::{CallError, HttpClient};
use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::life::Target;
use crate::platform::{HOST, PREFIX};

/// Kind of the callers' jobs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Workload {
    /// Shortest run time of a task, and the limit of all run times, in milliseconds.
    pub(crate) run_ms: (u64, u64),
    /// CPU of a task, in thousandths of a core.
    pub(crate) cpu_milli: u64,
    /// Deadline of each job and time-out of the caller's request.
    pub(crate) answer_timeout: Duration,
    /// Probability that a caller gives a request up within the run time of a task.
    pub(crate) leaving: f64,
    /// Whether the jobs are kept: answered once they are stored.
    pub(crate) is_kept: bool,
}

/// Jobs that take a fraction of their deadline.
const SHORT_JOBS: Workload = Workload {
    run_ms: (20, 400),
    cpu_milli: 27_000,
    answer_timeout: Duration::from_secs(2),
    leaving: 0.0,
    is_kept: false,
};

/// Time-out of a request whose caller only gives up on a process that never answers.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

/// Delay before a job without an answer is resent.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// Maximum number of times that one job is sent.
const MAX_SENDS: u32 = 3;

/// Outcomes of the jobs of all callers.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) served: u32,
    /// Kept jobs that were accepted.
    pub(crate) accepted: BTreeSet<u64>,
    /// Jobs all of whose sends were refused.
    pub(crate) refused: BTreeSet<u64>,
    /// Requests that ended without an answer or a refusal although the process ran on.
    pub(crate) unanswered: Vec<String>,
}

/// Running callers.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    is_stopping: Rc<RefCell<bool>>,
    outcomes: Rc<RefCell<Outcomes>>,
}

impl Callers {
    /// Starts `impatient` callers, and `patient` ones with a time-out long after the deadline.
    #[allow(dead_code, reason = "not used by every test program")]
    pub(crate) fn start(targets: &[Target], seed: u64, counts: (u64, u64)) -> Self {
        Self::start_with(targets, seed, counts, SHORT_JOBS)
    }

    /// Same, with jobs of another kind.
    pub(crate) fn start_with(
        targets: &[Target],
        seed: u64,
        (impatient, patient): (u64, u64),
        workload: Workload,
    ) -> Self {
        let is_stopping = Rc::new(RefCell::new(false));
        let outcomes = Rc::new(RefCell::new(Outcomes::default()));
        let mut tasks = JoinSet::new();
        for caller in 0..impatient + patient {
            let rng = StdRng::seed_from_u64(seed * 1_000 + caller);
            let (targets, outcomes) = (targets.to_vec(), Rc::clone(&outcomes));
            let timeout = if caller < impatient {
                workload.answer_timeout
            } else {
                PATIENCE
            };
            let is_stopping = Rc::clone(&is_stopping);
            tasks.spawn_local(async move {
                // Each caller reuses its open connections until the process is gone.
                let http = HttpClient::new();
                let mut rng = rng;
                while !*is_stopping.borrow() {
                    let id = rng.random();
                    submit(
                        &http,
                        &targets,
                        &mut rng,
                        (id, timeout, &workload),
                        &outcomes,
                    )
                    .await;
                    sleep(Duration::from_millis(rng.random_range(5..60))).await;
                }
            });
        }
        Self {
            tasks,
            is_stopping,
            outcomes,
        }
    }

    pub(crate) async fn stop(mut self) -> Outcomes {
        *self.is_stopping.borrow_mut() = true;
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        self.outcomes.take()
    }

    /// Whether at least one of five jobs is served now.
    pub(crate) async fn probe(targets: &[Target], seed: u64) -> bool {
        let mut rng = StdRng::seed_from_u64(seed + 500_000);
        let outcomes = Rc::new(RefCell::new(Outcomes::default()));
        for _ in 0..5 {
            let (http, id) = (HttpClient::new(), rng.random());
            let job = (id, SHORT_JOBS.answer_timeout, &SHORT_JOBS);
            submit(&http, targets, &mut rng, job, &outcomes).await;
        }
        outcomes.take().served > 0
    }
}

/// Submits one job, and resends the job while it has no answer.
async fn submit(
    http: &HttpClient,
    targets: &[Target],
    rng: &mut StdRng,
    (id, timeout, workload): (u64, Duration, &Workload),
    outcomes: &Rc<RefCell<Outcomes>>,
) {
    let (shortest, limit) = workload.run_ms;
    let (ms, cpu) = (rng.random_range(shortest..limit), workload.cpu_milli);
    let step = json!({"count": rng.random_range(1..5), "cpu": cpu, "mem_mb": 1,
        "estimated_ms": ms});
    let body =
        json!({"spec": format!("{ms} {cpu}"), "best_effort": !workload.is_kept, "steps": [step]});
    let mut is_only_refused = true;
    for _ in 0..MAX_SENDS {
        let target = &targets[rng.random_range(0..targets.len())];
        let leaves = workload.leaving > 0.0 && rng.random_bool(workload.leaving);
        let timeout = if leaves {
            Duration::from_millis(rng.random_range(0..ms))
        } else {
            timeout
        };
        let call = Call {
            address: target.address,
            method: Method::POST,
            path: format!("http://{HOST}{PREFIX}{id:016x}"),
            headers: vec![(
                "Geraniumrelay-Deadline-Ms",
                workload.answer_timeout.as_millis().to_string(),
            )],
            body: body.to_string().into(),
            limits: Limits::whole(timeout),
        };
        let (moment, sent) = (target.life.now(), Instant::now());
        let (address, journal) = (target.address, &target.journal);
        journal.call(format!("caller of {id:016x} sends to {address}"));
        let answer = http.call(call).await.map(|res| res.status.as_u16());
        journal.call(format!(
            "caller of {id:016x} left {address} after {timeout:?} at most: {answer:?}"
        ));
        // An impatient caller may give up before the answer reaches it.
        let is_judged = timeout > workload.answer_timeout || sent.elapsed() < timeout;
        let is_unanswered = matches!(answer, Err(CallError::Unanswered)) && is_judged;
        if is_unanswered && moment.is_some_and(|m| target.life.has_run_since(m)) {
            let took = sent.elapsed();
            let line = format!("{id:016x} at {address} for {took:?}");
            outcomes.borrow_mut().unanswered.push(line);
        }
        match answer {
            Ok(200) => {
                let mut outcomes = outcomes.borrow_mut();
                outcomes.served += 1;
                if workload.is_kept {
                    outcomes.accepted.insert(id);
                }
                return;
            }
            Ok(429 | 503) => break,
            // The process was down: nothing was sent.
            Err(CallError::NotSent) => {}
            _ => is_only_refused = false,
        }
        sleep(RESEND_DELAY).await;
    }
    if is_only_refused {
        outcomes.borrow_mut().refused.insert(id);
    }
}
