//! Bindings of callers' idempotency keys to tickets, many in one transaction.

use std::collections::HashMap;
use std::time::SystemTime;

use geraniumrelay_wire::{KeyBinding, TableCondition, TableRow, Transaction};
use log::warn;

use crate::client::PlatformClient;
use crate::error::PlatformError;
use crate::{expiry, rows};

/// Key prefix of the bindings.
const KEY_PREFIX: &str = "idempotency/";

/// Maximum number of lost replies after which a group commit is retried; after one more the store
/// counts as unavailable.
const MAX_LOST_REPLIES: u32 = 2;

/// Returns the row of an idempotency key, which is scoped to one service and team.
pub fn key_row(service: &str, team: Option<&str>, key: &str) -> String {
    // Names contain no '/', so rows of different scopes are distinct.
    let team = team.unwrap_or_default();
    format!("{KEY_PREFIX}{service}/{team}/{key}")
}

/// A binding that is to be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestedBinding {
    /// Row of the key.
    pub row: String,
    /// Ticket and body digest to bind the key to.
    pub binding: KeyBinding,
}

/// Outcome of one requested binding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The key is bound as requested.
    Bound,
    /// The key was bound by an earlier request, to the given ticket and body digest.
    AlreadyBound(KeyBinding),
    /// The store is unavailable or the row can't be decoded; the key may be bound.
    Unknown,
}

/// Stores bindings in the platform's table.
#[derive(Debug)]
pub struct KeyStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> KeyStore<'a> {
    /// Creates a store that uses `client`.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Binds all keys that are not bound yet in one transaction.
    ///
    /// After a lost reply the conditional insert is retried: it either takes effect or returns the
    /// existing rows. The rows are deleted after `expires`.
    pub fn bind(
        &self,
        requests: &[RequestedBinding],
        expires: SystemTime,
        batch: u128,
    ) -> Vec<KeyOutcome> {
        let mut group = GroupCommit::new(requests);
        let mut lost_replies = 0;
        while !group.open.is_empty() {
            match self.client.commit(&group.transaction(expires, batch)) {
                Ok(result) if result.committed => group.resolve_open(&KeyOutcome::Bound),
                Ok(result) if group.resolve_conflicts(&result.conflicts) => {}
                Ok(_) => group.abandon_open("conflicts contain no row of the transaction"),
                Err(e) if e.may_have_taken_effect() && lost_replies < MAX_LOST_REPLIES => {
                    lost_replies += 1;
                }
                Err(e) => group.abandon_open(&e.to_string()),
            }
        }
        group.into_outcomes()
    }
}

/// Requests of one group commit and the outcomes determined so far.
#[derive(Debug)]
struct GroupCommit<'a> {
    requests: &'a [RequestedBinding],
    /// Index of the first request of each row without an outcome.
    open: HashMap<&'a str, usize>,
    /// Index of the first request of each row with an outcome.
    resolved: HashMap<&'a str, (usize, KeyOutcome)>,
}

impl<'a> GroupCommit<'a> {
    fn new(requests: &'a [RequestedBinding]) -> Self {
        let mut open = HashMap::new();
        for (i, request) in requests.iter().enumerate() {
            open.entry(request.row.as_str()).or_insert(i);
        }
        Self {
            requests,
            open,
            resolved: HashMap::new(),
        }
    }

    fn transaction(&self, expires: SystemTime, batch: u128) -> Transaction {
        let keys = self.open.keys().map(|row| (*row).to_owned());
        let conditions = keys.clone().map(|key| TableCondition { key, version: 0 });
        let requests = self.open.values().map(|i| &self.requests[*i]);
        let writes = requests.map(|request| rows::write(request.row.clone(), &request.binding));
        let batch = expiry::batch_write(expires, batch, keys.collect());
        Transaction {
            conditions: conditions.collect(),
            writes: writes.chain([batch]).collect(),
        }
    }

    /// Resolves the requests whose rows already exist; returns whether there were any.
    fn resolve_conflicts(&mut self, conflicts: &[TableRow]) -> bool {
        let before = self.open.len();
        for row in conflicts {
            let Some((key, i)) = self.open.remove_entry(row.key.as_str()) else {
                continue;
            };
            let outcome = match rows::read::<KeyBinding>(row) {
                Ok(binding) if binding == self.requests[i].binding => KeyOutcome::Bound,
                Ok(binding) => KeyOutcome::AlreadyBound(binding),
                Err(e) => undecodable(&e),
            };
            self.resolved.insert(key, (i, outcome));
        }
        self.open.len() < before
    }

    fn resolve_open(&mut self, outcome: &KeyOutcome) {
        for (key, i) in self.open.drain() {
            self.resolved.insert(key, (i, outcome.clone()));
        }
    }

    fn abandon_open(&mut self, cause: &str) {
        warn!(keys = self.open.len(), error = cause; "keys_not_bound");
        self.resolve_open(&KeyOutcome::Unknown);
    }

    /// One outcome per request, in request order. If several requests name the same row, the later
    /// ones get the binding of the first as an earlier binding.
    fn into_outcomes(self) -> Vec<KeyOutcome> {
        let outcome_of = |(i, request): (usize, &RequestedBinding)| {
            let Some((first, outcome)) = self.resolved.get(request.row.as_str()) else {
                return KeyOutcome::Unknown;
            };
            match outcome {
                KeyOutcome::Bound if *first != i => {
                    KeyOutcome::AlreadyBound(self.requests[*first].binding.clone())
                }
                other => other.clone(),
            }
        };
        self.requests.iter().enumerate().map(outcome_of).collect()
    }
}

fn undecodable(e: &PlatformError) -> KeyOutcome {
    warn!(error = e.to_string().as_str(); "key_unreadable");
    KeyOutcome::Unknown
}
