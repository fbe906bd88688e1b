//! Callers: jobs at any entry VM, again where no answer came.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use geraniumrelay_adapter::HttpClient;
use geraniumrelay_adapter::http::Call;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::platform::{HOST, PREFIX};

/// Callers at a time.
const CALLERS: u64 = 12;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Pause before a job is sent again that got no answer.
const RESEND: Duration = Duration::from_millis(1_300);

/// Sends of one job at most.
const MAX_SENDS: u32 = 3;

/// What callers have been told.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) served: u32,
    /// Jobs all of whose sends were refused.
    pub(crate) refused: BTreeSet<u64>,
}

/// The callers.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    is_stopping: Rc<RefCell<bool>>,
    told: Rc<RefCell<Seen>>,
}

impl Callers {
    pub(crate) fn start(addresses: &[SocketAddr], seed: u64) -> Self {
        let is_stopping = Rc::new(RefCell::new(false));
        let told = Rc::new(RefCell::new(Seen::default()));
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            let rng = StdRng::seed_from_u64(seed * 1_000 + caller);
            let (addresses, told) = (addresses.to_vec(), Rc::clone(&told));
            let is_stopping = Rc::clone(&is_stopping);
            tasks.spawn_local(async move {
                // Open connections are used until the process is gone.
                let http = HttpClient::new();
                let mut rng = rng;
                while !*is_stopping.borrow() {
                    let id = rng.random();
                    call(&http, &addresses, &mut rng, id, &told).await;
                    sleep(Duration::from_millis(rng.random_range(5..60))).await;
                }
            });
        }
        Self {
            tasks,
            is_stopping,
            told,
        }
    }

    pub(crate) async fn stop(mut self) -> Seen {
        *self.is_stopping.borrow_mut() = true;
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        self.told.take()
    }

    /// Whether a job is served now.
    pub(crate) async fn probe(addresses: &[SocketAddr], seed: u64) -> bool {
        let mut rng = StdRng::seed_from_u64(seed + 500_000);
        let told = Rc::new(RefCell::new(Seen::default()));
        for _ in 0..5 {
            let (http, id) = (HttpClient::new(), rng.random());
            call(&http, addresses, &mut rng, id, &told).await;
        }
        told.take().served > 0
    }
}

/// Hands one job in, and again where it got no answer.
async fn call(
    http: &HttpClient,
    addresses: &[SocketAddr],
    rng: &mut StdRng,
    id: u64,
    told: &Rc<RefCell<Seen>>,
) {
    let ms = rng.random_range(20..400);
    let step = json!({"count": rng.random_range(1..5), "cpu": 27_000, "mem_mb": 1,
        "estimated_ms": ms});
    let body = json!({"spec": format!("{ms} 27000"), "best_effort": true, "steps": [step]});
    let mut is_refused = true;
    for _ in 0..MAX_SENDS {
        let address = addresses[rng.random_range(0..addresses.len())];
        let call = Call {
            address,
            method: Method::POST,
            path: format!("http://{HOST}{PREFIX}{id:016x}"),
            headers: vec![(
                "Geraniumrelay-Deadline-Ms",
                PATIENCE.as_millis().to_string(),
            )],
            body: body.to_string().into(),
            timeout: PATIENCE,
        };
        match http.call(call).await.map(|res| res.status.as_u16()) {
            Ok(200) => {
                told.borrow_mut().served += 1;
                return;
            }
            Ok(429 | 503) => break,
            // The process was not there: nothing was sent.
            Err(geraniumrelay_adapter::CallError::NotSent) => {}
            _ => is_refused = false,
        }
        sleep(RESEND).await;
    }
    if is_refused {
        told.borrow_mut().refused.insert(id);
    }
}
