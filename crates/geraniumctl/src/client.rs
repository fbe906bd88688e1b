//! HTTP client for the operator interface of entry VMs.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::body::Body;
use attohttpc::{ErrorKind, RequestBuilder, Response, Session as HttpSession, StatusCode};
use derive_more::{Display, Error};
use geraniumrelay_wire::Problem;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cli::Session;
use crate::exit::{Exit, Failure};

/// Connection time-out.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Response time-out; an entry VM may make several platform calls with time-outs of 2 s each.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a request to an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RequestError {
    /// The entry VM, or the platform behind it, can't be reached; nothing took effect.
    #[display("{entry}: {detail}")]
    Unreachable {
        /// Address of the entry VM.
        entry: SocketAddr,
        /// Text of the error.
        detail: String,
    },
    /// No complete response arrived; a change may have taken effect.
    #[display("{entry}: {detail}")]
    Unknown {
        /// Address of the entry VM.
        entry: SocketAddr,
        /// Text of the error.
        detail: String,
    },
    /// The token is missing or unknown.
    #[display("{entry}: {detail}; set GERANIUMRELAY_TOKEN or --token")]
    NotSignedIn {
        /// Address of the entry VM.
        entry: SocketAddr,
        /// Detail text of the response.
        detail: String,
    },
    /// The entry VM rejected the request; nothing took effect.
    #[display("{detail}")]
    Refused {
        /// Detail text of the response.
        detail: String,
    },
}

impl RequestError {
    /// Whether a retry may succeed, at another entry VM or later at the same one.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Unknown { .. })
    }
}

impl From<RequestError> for Failure {
    fn from(e: RequestError) -> Self {
        let exit = match e {
            RequestError::Unreachable { .. } | RequestError::Unknown { .. } => Exit::Unreachable,
            RequestError::NotSignedIn { .. } => Exit::NotSignedIn,
            RequestError::Refused { .. } => Exit::BadSheet,
        };
        Self::new(exit, e)
    }
}

/// Client of the entry VMs that the session names.
#[derive(Debug)]
pub struct Client {
    http: HttpSession,
    entries: Vec<SocketAddr>,
    token: String,
}

impl Client {
    /// Creates a client without connecting.
    ///
    /// # Errors
    /// [`Exit::Usage`] if the session names no entry VM.
    pub fn new(session: &Session) -> Result<Self, Failure> {
        if session.entries.is_empty() {
            let message = "no entry VM given; set GERANIUMRELAY_ENTRIES or --entries";
            return Err(Failure::message(Exit::Usage, message));
        }
        let mut http = HttpSession::new();
        http.connect_timeout(CONNECT_TIMEOUT);
        http.read_timeout(REPLY_TIMEOUT);
        http.timeout(REPLY_TIMEOUT);
        http.follow_redirects(false);
        http.proxy_settings(attohttpc::ProxySettings::builder().build());
        Ok(Self {
            http,
            entries: session.entries.clone(),
            token: session.token.clone(),
        })
    }

    /// Operator addresses of the entry VMs, in the order given.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Sends a query to the entry VMs in turn until one answers.
    ///
    /// # Errors
    /// The first error that can't be retried, or the last error if no entry VM answers.
    pub fn get_any<T: DeserializeOwned>(&self, path: &str) -> Result<T, RequestError> {
        let mut outcome = self.get(self.entries[0], path);
        for entry in &self.entries[1..] {
            if !matches!(&outcome, Err(e) if e.is_retryable()) {
                break;
            }
            outcome = self.get(*entry, path);
        }
        outcome
    }

    /// Sends a query to one entry VM.
    ///
    /// # Errors
    /// Any [`RequestError`].
    pub fn get<T: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        path: &str,
    ) -> Result<T, RequestError> {
        let req = self.http.get(format!("http://{entry}{path}"));
        self.send(entry, req)
    }

    /// Sends a change request to one entry VM.
    ///
    /// # Errors
    /// Any [`RequestError`].
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, RequestError> {
        let req = self.http.post(format!("http://{entry}{path}"));
        let req = req.json(body).map_err(|e| RequestError::Refused {
            detail: e.to_string(),
        })?;
        self.send(entry, req)
    }

    fn send<B: Body, T: DeserializeOwned>(
        &self,
        entry: SocketAddr,
        req: RequestBuilder<B>,
    ) -> Result<T, RequestError> {
        let res = req.bearer_auth(&self.token).send().map_err(|e| {
            let detail = e.to_string();
            if was_not_connected(e.kind()) {
                RequestError::Unreachable { entry, detail }
            } else {
                RequestError::Unknown { entry, detail }
            }
        })?;
        if !res.is_success() {
            return Err(status_error(entry, res));
        }
        res.json().map_err(|e| RequestError::Unknown {
            entry,
            detail: e.to_string(),
        })
    }
}

/// Whether the connection failed, so that no request was sent. A time-out does not count, as it may
/// occur after the connection is made.
fn was_not_connected(kind: &ErrorKind) -> bool {
    match kind {
        ErrorKind::ConnectError { .. } => true,
        ErrorKind::Io(e) => matches!(
            e.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
        ),
        _ => false,
    }
}

fn status_error(entry: SocketAddr, res: Response) -> RequestError {
    let status = res.status();
    let problem: Problem = res.json().unwrap_or_default();
    let detail = match problem.detail.as_str() {
        "" => format!("status {status}"),
        detail => detail.to_owned(),
    };
    match status {
        StatusCode::UNAUTHORIZED => RequestError::NotSignedIn { entry, detail },
        StatusCode::SERVICE_UNAVAILABLE => RequestError::Unreachable { entry, detail },
        StatusCode::GATEWAY_TIMEOUT => RequestError::Unknown { entry, detail },
        _ => RequestError::Refused { detail },
    }
}
