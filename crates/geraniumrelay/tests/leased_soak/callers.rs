//! Callers that submit jobs to any entry VM and resend jobs without an answer.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use geraniumrelay_adapter::HttpClient;
use geraniumrelay_adapter::http::{Call, Limits};
use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::platform::{HOST, PREFIX};

/// Number of concurrent callers.
const CALLERS: u64 = 12;

/// Deadline of each job and time-out of the caller's request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a job without an answer is resent.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// Maximum number of times that one job is sent.
const MAX_SENDS: u32 = 3;

/// Outcomes of the jobs of all callers.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) served: u32,
    /// Jobs all of whose sends were refused.
    pub(crate) refused: BTreeSet<u64>,
}

/// Running callers.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    is_stopping: Rc<RefCell<bool>>,
    outcomes: Rc<RefCell<Outcomes>>,
}

impl Callers {
    pub(crate) fn start(addresses: &[SocketAddr], seed: u64) -> Self {
        let is_stopping = Rc::new(RefCell::new(false));
        let outcomes = Rc::new(RefCell::new(Outcomes::default()));
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            let rng = StdRng::seed_from_u64(seed * 1_000 + caller);
            let (addresses, outcomes) = (addresses.to_vec(), Rc::clone(&outcomes));
            let is_stopping = Rc::clone(&is_stopping);
            tasks.spawn_local(async move {
                // Each caller reuses its open connections until the process is gone.
                let http = HttpClient::new();
                let mut rng = rng;
                while !*is_stopping.borrow() {
                    let id = rng.random();
                    submit(&http, &addresses, &mut rng, id, &outcomes).await;
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
    pub(crate) async fn probe(addresses: &[SocketAddr], seed: u64) -> bool {
        let mut rng = StdRng::seed_from_u64(seed + 500_000);
        let outcomes = Rc::new(RefCell::new(Outcomes::default()));
        for _ in 0..5 {
            let (http, id) = (HttpClient::new(), rng.random());
            submit(&http, addresses, &mut rng, id, &outcomes).await;
        }
        outcomes.take().served > 0
    }
}

/// Submits one job, and resends the job while it has no answer.
async fn submit(
    http: &HttpClient,
    addresses: &[SocketAddr],
    rng: &mut StdRng,
    id: u64,
    outcomes: &Rc<RefCell<Outcomes>>,
) {
    let ms = rng.random_range(20..400);
    let step = json!({"count": rng.random_range(1..5), "cpu": 27_000, "mem_mb": 1,
        "estimated_ms": ms});
    let body = json!({"spec": format!("{ms} 27000"), "best_effort": true, "steps": [step]});
    let mut is_only_refused = true;
    for _ in 0..MAX_SENDS {
        let address = addresses[rng.random_range(0..addresses.len())];
        let call = Call {
            address,
            method: Method::POST,
            path: format!("http://{HOST}{PREFIX}{id:016x}"),
            headers: vec![(
                "Geraniumrelay-Deadline-Ms",
                ANSWER_TIMEOUT.as_millis().to_string(),
            )],
            body: body.to_string().into(),
            limits: Limits::whole(ANSWER_TIMEOUT),
        };
        match http.call(call).await.map(|res| res.status.as_u16()) {
            Ok(200) => {
                outcomes.borrow_mut().served += 1;
                return;
            }
            Ok(429 | 503) => break,
            // The process was down: nothing was sent.
            Err(geraniumrelay_adapter::CallError::NotSent) => {}
            _ => is_only_refused = false,
        }
        sleep(RESEND_DELAY).await;
    }
    if is_only_refused {
        outcomes.borrow_mut().refused.insert(id);
    }
}
