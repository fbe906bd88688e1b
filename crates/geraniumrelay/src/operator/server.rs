//! The HTTP server for operators and its routes.

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

/// Requests that are served at once.
const HTTP_THREADS: usize = 8;

/// What the routes need.
#[derive(Debug)]
pub struct OperatorApi<C> {
    /// Time.
    pub clock: C,
    /// This VM.
    pub vm: VmName,
    /// Who may sign in.
    pub operators: Credentials<OperatorName>,
    /// Ring to the decision thread.
    pub decision: DecisionTx,
    /// Where the platform is.
    pub platform: PlatformConfig,
    /// The newest sheet known here.
    pub sheets: Arc<SheetCache>,
    /// When the platform last answered.
    pub contact: Arc<PlatformContact>,
    /// When this VM's certificate expires.
    pub certificate_expiry: SystemTime,
}

/// Starts to listen.
///
/// # Errors
/// An address that can't be listened on.
pub fn start<C: Clock + 'static>(listen: SocketAddr, api: OperatorApi<C>) -> anyhow::Result<()> {
    let server = Server::new(listen, move |req| {
        api.route(req).unwrap_or_else(OperatorProblem::respond)
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
        let who = self.authenticate(req)?;
        let path = req.url();
        match (req.method(), path.as_str()) {
            ("GET", "/v1/operator/status") => self.status(),
            ("GET", "/v1/operator/services") => self.services(),
            ("GET", "/v1/operator/targets") => self.targets(),
            ("GET", "/v1/operator/jobs") => self.jobs(req),
            ("GET", "/v1/operator/audit") => self.audit(req),
            ("GET", "/v1/operator/sheet") => self.sheet(),
            ("POST", "/v1/operator/sheet") => self.apply(who, req),
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
