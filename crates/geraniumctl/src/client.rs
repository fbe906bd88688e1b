//! HTTP client of the operators' interface.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a reply; an entry VM waits for the platform for a few calls of 2 s.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request to one entry VM failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RequestError {
    /// No connection was made, or the platform behind it can't be reached; nothing took effect.
    #[display("{entry}: {detail}")]
    Unreachable {
        /// The entry VM.
        entry: SocketAddr,
        /// What failed.
        detail: String,
    },
    /// No whole reply came; a change may have taken effect.
    #[display("{entry}: {detail}")]
    Unknown {
        /// The entry VM.
        entry: SocketAddr,
        /// What failed.
        detail: String,
    },
    /// The token is missing or not known.
    #[display("{entry}: {detail}; set GERANIUMRELAY_TOKEN or --token")]
    NotSignedIn {
        /// The entry VM.
        entry: SocketAddr,
        /// What it said.
        detail: String,
    },
    /// The entry VM refused; nothing took effect.
    #[display("{detail}")]
    Refused {
        /// What it said.
        detail: String,
    },
}

impl RequestError {
    /// Whether another entry VM, or the same one later, may do better.
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

/// Client of all entry VMs that the person named.
#[derive(Debug)]
pub struct Client {
    http: HttpSession,
    entries: Vec<SocketAddr>,
    token: String,
}

impl Client {
    /// Makes a client; nothing is sent yet.
    ///
    /// # Errors
    /// No entry VM is named.
    pub fn new(session: &Session) -> Result<Self, Failure> {
        if session.entries.is_empty() {
            let message = "name at least one entry VM: GERANIUMRELAY_ENTRIES or --entries";
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

    /// The entry VMs.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Asks the first entry VM that answers.
    ///
    /// # Errors
    /// The last error, where none answers; the first one that is not worth repeating elsewhere.
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

    /// Asks one entry VM.
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

    /// Sends a change to one entry VM.
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
            if is_unconnected(e.kind()) {
                RequestError::Unreachable { entry, detail }
            } else {
                RequestError::Unknown { entry, detail }
            }
        })?;
        if !res.is_success() {
            return Err(refusal(entry, res));
        }
        res.json().map_err(|e| RequestError::Unknown {
            entry,
            detail: e.to_string(),
        })
    }
}

/// Whether no connection was made. A time-out may have come before or after it.
fn is_unconnected(kind: &ErrorKind) -> bool {
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

fn refusal(entry: SocketAddr, res: Response) -> RequestError {
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
