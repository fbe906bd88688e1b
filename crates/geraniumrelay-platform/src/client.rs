//! HTTP client of the platform.

use std::io;
use std::time::Duration;

use attohttpc::header::{ETAG, IF_NONE_MATCH};
use attohttpc::{ErrorKind, RequestBuilder, Session, StatusCode};
use geraniumrelay_wire::{TableRow, TableRows, Transaction, TransactionResult, VmList};
use serde::de::DeserializeOwned;

use crate::error::PlatformError;

/// HTTP status for an unchanged list.
const NOT_MODIFIED: u16 = 304;

/// Address and time-outs of the platform.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    /// Base URL, such as `http://10.0.0.1:8100`.
    pub url: String,
    /// Connection time-out.
    pub connect_timeout: Duration,
    /// Time-out for the complete response to a write, and longest pause within any response.
    pub timeout: Duration,
    /// Time-out for the complete response to a read, while parts of it arrive. A sheet or a VM list
    /// takes seconds on a slow link.
    pub read_timeout: Duration,
}

impl PlatformConfig {
    /// Creates settings for the platform at `url` with default time-outs.
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            read_timeout: Duration::from_secs(10),
        }
    }

    /// Replaces the time-outs for the complete response, of reads as well.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self.read_timeout = timeout;
        self
    }
}

/// The list of VMs and its HTTP entity tag.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VmListing {
    /// Entity tag; `None` if the platform sends none, so that every read returns the whole list.
    pub tag: Option<String>,
    /// Listed VMs.
    pub list: VmList,
}

/// Client of the platform's table, object store and VM list.
#[derive(Debug)]
pub struct PlatformClient {
    cfg: PlatformConfig,
    session: Session,
}

impl PlatformClient {
    /// Creates a client without connecting.
    pub fn new(cfg: PlatformConfig) -> Self {
        let mut session = Session::new();
        session.connect_timeout(cfg.connect_timeout);
        session.read_timeout(cfg.timeout);
        session.timeout(cfg.timeout);
        session.follow_redirects(false);
        session.proxy_settings(attohttpc::ProxySettings::builder().build());
        Self { cfg, session }
    }

    /// Reads one row; version 0 means that the row does not exist.
    ///
    /// # Errors
    /// Any [`PlatformError`]; nothing is written.
    pub fn row(&self, key: &str) -> Result<TableRow, PlatformError> {
        let req = self.get("/v1/table/row").param("key", key);
        read_json(send(req)?)
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and come after `after`.
    ///
    /// # Errors
    /// Any [`PlatformError`]; nothing is written.
    pub fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<TableRows, PlatformError> {
        let req = self
            .get("/v1/table/rows")
            .param("prefix", prefix)
            .param("after", after)
            .param("limit", limit);
        read_json(send(req)?)
    }

    /// Commits a transaction durably and atomically.
    ///
    /// # Errors
    /// [`PlatformError::Unknown`] if the transaction may have taken effect; after any other error
    /// it has not.
    pub fn commit(&self, transaction: &Transaction) -> Result<TransactionResult, PlatformError> {
        let req = self.session.post(self.url("/v1/table/transactions"));
        let req = req.json(transaction).map_err(|e| unreachable_error(&e))?;
        read_json(send(req)?)
    }

    /// Reads the list of the VMs of a data centre and of all entry VMs; `None` if it still has the
    /// entity tag `known_tag`. The list lags behind the actual state.
    ///
    /// # Errors
    /// Any [`PlatformError`]; nothing is written.
    pub fn vms(
        &self,
        data_centre: &str,
        known_tag: Option<&str>,
    ) -> Result<Option<VmListing>, PlatformError> {
        let req = self.get("/v1/vms").param("data_centre", data_centre);
        let req = match known_tag {
            Some(tag) => req
                .try_header(IF_NONE_MATCH, tag)
                .map_err(|e| unreachable_error(&e))?,
            None => req,
        };
        let res = match send(req) {
            Err(PlatformError::Refused {
                status: NOT_MODIFIED,
            }) => return Ok(None),
            res => res?,
        };
        let tag = res
            .headers()
            .get(ETAG)
            .and_then(|tag| tag.to_str().ok())
            .map(str::to_owned);
        Ok(Some(VmListing {
            tag,
            list: read_json(res)?,
        }))
    }

    /// Writes an object, replacing its content.
    ///
    /// # Errors
    /// [`PlatformError::Unknown`] if the write may have taken effect; after any other error it has
    /// not.
    pub fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError> {
        let req = self.session.put(self.url("/v1/object")).param("name", name);
        send(req.bytes(content.to_vec())).map(drop)
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// Any [`PlatformError`]; nothing is written.
    pub fn object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let req = self.get("/v1/object").param("name", name);
        match send(req) {
            Ok(res) => res.bytes().map(Some).map_err(|e| unknown_error(&e)),
            Err(PlatformError::Refused { status: 404 }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// A read of `path`.
    fn get(&self, path: &str) -> RequestBuilder {
        let req = self.session.get(self.url(path));
        req.timeout(self.cfg.read_timeout)
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.cfg.url)
    }
}

fn send<B: attohttpc::body::Body>(
    req: RequestBuilder<B>,
) -> Result<attohttpc::Response, PlatformError> {
    let res = req.send().map_err(|e| {
        if was_not_connected(&e) {
            unreachable_error(&e)
        } else {
            unknown_error(&e)
        }
    })?;
    if res.is_success() {
        return Ok(res);
    }
    let status = res.status();
    if is_failure(status) {
        let detail = format!("status {status}");
        return Err(PlatformError::Unknown { detail });
    }
    Err(PlatformError::Refused {
        status: status.as_u16(),
    })
}

/// Whether the status does not say whether the request was processed.
fn is_failure(status: StatusCode) -> bool {
    let is_declined = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::INSUFFICIENT_STORAGE,
    ];
    status.is_server_error() && !is_declined.contains(&status)
}

fn read_json<T: DeserializeOwned>(res: attohttpc::Response) -> Result<T, PlatformError> {
    res.json().map_err(|e| unknown_error(&e))
}

/// Whether the connection failed, so that no request was sent.
fn was_not_connected(e: &attohttpc::Error) -> bool {
    match e.kind() {
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

fn unreachable_error(e: &attohttpc::Error) -> PlatformError {
    PlatformError::Unreachable {
        detail: e.to_string(),
    }
}

fn unknown_error(e: &attohttpc::Error) -> PlatformError {
    PlatformError::Unknown {
        detail: e.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use std::net::TcpListener;

    use assert_matches::assert_matches;

    use super::*;

    #[test]
    fn refused_connection_is_unreachable() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let client = PlatformClient::new(PlatformConfig::new(format!("http://{address}")));
        assert_matches!(
            client.commit(&Transaction::default()),
            Err(PlatformError::Unreachable { .. })
        );
    }
}
