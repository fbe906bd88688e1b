//! Settings of the entry process, read from flags and environment variables.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::bail;
use clap::Parser;
use geraniumrelay_core::names::{DataCentre, OperatorName, TeamName, VmName};

use crate::credentials::Credential;

/// Minimum lifetime of an idempotency key's binding, well beyond the time for which an owner may
/// still accept its ticket as a first submission.
const MIN_KEY_TTL: Duration = Duration::from_hours(1);

/// Minimum retention time of a submission in the journal.
const MIN_JOURNAL_TTL: Duration = Duration::from_mins(1);

/// Range of the ticket lifetime.
const TICKET_TTL_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(10)..=Duration::from_hours(1);

/// Dispatcher for sub-second tasks: the process of one entry VM.
#[derive(Debug, Clone, Parser)]
#[command(version, about)]
pub struct Settings {
    /// Name of this VM, as in the platform's VM list.
    #[arg(long, env = "GERANIUMRELAY_VM")]
    pub vm: VmName,

    /// Data centre of this VM, as in the sheet.
    #[arg(long, env = "GERANIUMRELAY_DATA_CENTRE")]
    pub data_centre: DataCentre,

    /// Listen address for callers (IP:PORT).
    #[arg(long, env = "GERANIUMRELAY_LISTEN")]
    pub listen: SocketAddr,

    /// Listen address for other entry VMs (IP:PORT).
    #[arg(long, env = "GERANIUMRELAY_PEER_LISTEN")]
    pub peer_listen: SocketAddr,

    /// Address announced to other entry VMs (IP:PORT); defaults to `--peer-listen`.
    #[arg(long, env = "GERANIUMRELAY_PEER_ADVERTISE")]
    pub peer_advertise: Option<SocketAddr>,

    /// Listen address of the operators' interface (IP:PORT); without it the interface is off.
    #[arg(long, env = "GERANIUMRELAY_OPERATOR_LISTEN")]
    pub operator_listen: Option<SocketAddr>,

    /// Operators that may sign in, as a comma-separated list of NAME:SHA256-OF-TOKEN.
    #[arg(long, env = "GERANIUMRELAY_OPERATORS", value_delimiter = ',')]
    pub operators: Vec<Credential<OperatorName>>,

    /// Callers' teams, as a comma-separated list of NAME:SHA256-OF-TOKEN. If set, a request without
    /// the token of a listed team is refused.
    #[arg(long, env = "GERANIUMRELAY_TEAMS", value_delimiter = ',')]
    pub teams: Vec<Credential<TeamName>>,

    /// Base URL of the platform.
    #[arg(long, env = "GERANIUMRELAY_PLATFORM")]
    pub platform: String,

    /// CA certificate of the entry processes, PEM.
    #[arg(long, env = "GERANIUMRELAY_CA")]
    pub ca: PathBuf,

    /// Certificate of this process, PEM.
    #[arg(long, env = "GERANIUMRELAY_CERT")]
    pub cert: PathBuf,

    /// Private key of this process, PEM.
    #[arg(long, env = "GERANIUMRELAY_KEY")]
    pub key: PathBuf,

    /// Number of threads that handle the connections to targets.
    #[arg(long, env = "GERANIUMRELAY_DISPATCH_THREADS", default_value_t = 2)]
    pub dispatch_threads: usize,

    /// Maximum size of a request body in bytes.
    #[arg(long, env = "GERANIUMRELAY_MAX_BODY", default_value_t = 1 << 20)]
    pub max_body: usize,

    /// Memory that callers' connections may hold together, in MiB: unfinished requests, and answers that are not read.
    /// By default a quarter of the machine's memory, at most 64; always at least two bodies of the maximum size.
    #[arg(long, env = "GERANIUMRELAY_CLIENT_MEMORY_MB")]
    pub client_memory_mb: Option<u64>,

    /// Maximum number of open connections of callers. By default half of the descriptors that the process may open.
    #[arg(long, env = "GERANIUMRELAY_MAX_CONNECTIONS")]
    pub max_connections: Option<usize>,

    /// Maximum time to receive the head of a request, and maximum idle time of a kept-alive
    /// connection.
    #[arg(long, env = "GERANIUMRELAY_HEAD_TIMEOUT", default_value = "30s", value_parser = humantime::parse_duration)]
    pub head_timeout: Duration,

    /// Maximum time to receive the body of a request.
    #[arg(long, env = "GERANIUMRELAY_BODY_TIMEOUT", default_value = "10s", value_parser = humantime::parse_duration)]
    pub body_timeout: Duration,

    /// Time for which an idempotency key stays bound to its submission.
    #[arg(long, env = "GERANIUMRELAY_KEY_TTL", default_value = "24h", value_parser = humantime::parse_duration)]
    pub key_ttl: Duration,

    /// Maximum number of group commits of idempotency keys per second.
    #[arg(long, env = "GERANIUMRELAY_KEY_COMMITS", default_value_t = 40)]
    pub key_commits: u32,

    /// Retention time of a submission in the journal.
    #[arg(long, env = "GERANIUMRELAY_JOURNAL_TTL", default_value = "24h", value_parser = humantime::parse_duration)]
    pub journal_ttl: Duration,

    /// Maximum number of group commits of the journal per second.
    #[arg(long, env = "GERANIUMRELAY_JOURNAL_COMMITS", default_value_t = 10)]
    pub journal_commits: u32,

    /// Time after minting within which the first submission of a ticket is accepted; claims are
    /// kept 2 minutes longer.
    #[arg(long, env = "GERANIUMRELAY_TICKET_TTL", default_value = "10m", value_parser = humantime::parse_duration)]
    pub ticket_ttl: Duration,

    /// Maximum wait of a stop for requests and tasks in flight.
    #[arg(long, env = "GERANIUMRELAY_STOP_TIMEOUT", default_value = "60s", value_parser = humantime::parse_duration)]
    pub stop_timeout: Duration,

    /// Minimum time from the withdrawal of readiness to the exit, in which the load balancer and
    /// callers with kept-alive connections switch to other entry VMs.
    #[arg(long, env = "GERANIUMRELAY_STOP_LINGER", default_value = "3s", value_parser = humantime::parse_duration)]
    pub stop_linger: Duration,
}

impl Settings {
    /// Checks the rules that the types don't enforce, and collects all violations.
    ///
    /// # Errors
    /// One error with a line for each violated rule.
    pub fn check(&self) -> anyhow::Result<()> {
        let mut faults = Vec::new();
        for (flag, path) in [
            ("--ca", &self.ca),
            ("--cert", &self.cert),
            ("--key", &self.key),
        ] {
            if !path.is_file() {
                faults.push(format!("{flag}: {} is not a file", path.display()));
            }
        }
        if !self.platform.starts_with("http://") {
            faults.push(format!(
                "--platform: \"{}\" is not an http:// URL",
                self.platform
            ));
        }
        if !(1..=64).contains(&self.dispatch_threads) {
            faults.push("--dispatch-threads: must be 1 to 64".to_owned());
        }
        if !(1..=64 << 20).contains(&self.max_body) {
            faults.push("--max-body: must be 1 to 67108864 bytes".to_owned());
        }
        if self
            .client_memory_mb
            .is_some_and(|mb| !(1..=65_536).contains(&mb))
        {
            faults.push("--client-memory-mb: must be 1 to 65536".to_owned());
        }
        if self.max_connections == Some(0) {
            faults.push("--max-connections: must be at least 1".to_owned());
        }
        if self.key_ttl < MIN_KEY_TTL {
            faults.push("--key-ttl: must be at least 1h".to_owned());
        }
        if !(1..=1_000).contains(&self.key_commits) {
            faults.push("--key-commits: must be 1 to 1000".to_owned());
        }
        if self.journal_ttl < MIN_JOURNAL_TTL {
            faults.push("--journal-ttl: must be at least 1m".to_owned());
        }
        if !(1..=1_000).contains(&self.journal_commits) {
            faults.push("--journal-commits: must be 1 to 1000".to_owned());
        }
        if !TICKET_TTL_RANGE.contains(&self.ticket_ttl) {
            faults.push("--ticket-ttl: must be 10s to 1h".to_owned());
        }
        if self.listen == self.peer_listen {
            faults.push("--peer-listen: must differ from --listen".to_owned());
        }
        if self.stop_linger > self.stop_timeout {
            faults.push("--stop-linger: must not be longer than --stop-timeout".to_owned());
        }
        let operator_listen = self.operator_listen;
        if operator_listen
            .is_some_and(|address| address == self.listen || address == self.peer_listen)
        {
            faults.push("--operator-listen: must differ from the other addresses".to_owned());
        }
        if faults.is_empty() {
            return Ok(());
        }
        bail!("invalid settings:\n{}", faults.join("\n"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn check_reports_all_faults_at_once() {
        let args = [
            "geraniumrelay",
            "--vm",
            "e1",
            "--data-centre",
            "szeged",
            "--listen",
            "127.0.0.1:1",
            "--peer-listen",
            "127.0.0.1:1",
            "--platform",
            "ftp://x",
            "--ca",
            "/absent",
            "--cert",
            "/absent",
            "--key",
            "/absent",
            "--dispatch-threads",
            "0",
            "--ticket-ttl",
            "1s",
        ];
        let faults = Settings::parse_from(args).check().unwrap_err().to_string();
        assert_eq!(faults.lines().count(), 1 + 7, "{faults}");
    }
}
