//! HTTP server for operators and its routes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::SystemTime;

use geraniumrelay_core::Clock;
use geraniumrelay_core::names::{OperatorName, VmName};
use geraniumrelay_platform::PlatformConfig;
use rouille::{Request, Response, Server};

use crate::credentials::Credentials;
use crate::operator::problem::OperatorProblem;
use crate::platform_contact::PlatformContact;
use crate::requests::DecisionTx;
use crate::sheet_cache::SheetCache;

/// Number of threads, and so of requests served concurrently.
const HTTP_THREADS: usize = 8;

/// State shared by the routes for operators.
#[derive(Debug)]
pub struct OperatorApi<C> {
    /// Source of the current time.
    pub clock: C,
    /// Name of this VM.
    pub vm: VmName,
    /// Tokens of the operators; if there are none, every request is refused.
    pub operators: Credentials<OperatorName>,
    /// Channel to the decision thread.
    pub decision: DecisionTx,
    /// Address of the platform's API and settings of its client.
    pub platform: PlatformConfig,
    /// Newest sheet known to this VM.
    pub sheets: Arc<SheetCache>,
    /// Time of the last reply of the platform.
    pub contact: Arc<PlatformContact>,
    /// Expiry time of this VM's certificate.
    pub certificate_expiry: SystemTime,
}

/// Starts the server on its own thread.
///
/// # Errors
/// The address can't be bound, or the thread can't be started.
pub fn start<C: Clock + 'static>(listen: SocketAddr, api: OperatorApi<C>) -> anyhow::Result<()> {
    let server = Server::new(listen, move |req| {
        api.route(req)
            .unwrap_or_else(OperatorProblem::into_response)
    });
    let server = server.map_err(|e| anyhow::anyhow!("listening for operators on {listen}: {e}"))?;
    let server = server.pool_size(HTTP_THREADS);
    thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || server.run())?;
    Ok(())
}

impl<C: Clock> OperatorApi<C> {
    fn route(&self, req: &Request) -> Result<Response, OperatorProblem> {
        let operator = self.authenticate(req)?;
        let path = req.url();
        match (req.method(), path.as_str()) {
            ("GET", "/v1/operator/status") => self.status(),
            ("GET", "/v1/operator/services") => self.services(),
            ("GET", "/v1/operator/targets") => self.targets(),
            ("GET", "/v1/operator/jobs") => self.jobs(req),
            ("GET", "/v1/operator/audit") => self.audit(req),
            ("GET", "/v1/operator/sheet") => self.sheet(),
            ("POST", "/v1/operator/sheet") => self.apply(operator, req),
            _ => Err(OperatorProblem::new(404, "no-such-resource", path)),
        }
    }

    fn authenticate(&self, req: &Request) -> Result<OperatorName, OperatorProblem> {
        let detail = if self.operators.is_empty() {
            "no operators are in the settings of this entry VM"
        } else {
            "a token of one of the operators is needed"
        };
        self.operators
            .authenticate(req.header("Authorization"))
            .ok_or_else(|| OperatorProblem::new(401, "not-signed-in", detail))
    }
}
