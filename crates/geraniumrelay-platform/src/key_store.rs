//! Bindings of callers' idempotency keys to tickets, many in one transaction.

use std::collections::HashMap;
use std::time::SystemTime;

use geraniumrelay_wire::{KeyBinding, TableCondition, TableRow, Transaction};
use log::warn;

use crate::client::PlatformClient;
use crate::error::PlatformError;
use crate::{expiry, rows};

/// Prefix of all bindings.
const KEY_PREFIX: &str = "idempotency/";

/// Most commits whose reply was lost before the store counts as away.
const MAX_LOST_REPLIES: u32 = 2;

/// Row of a key, which is unique among the submissions of one service and team.
pub fn key_row(service: &str, team: Option<&str>, key: &str) -> String {
    // Names hold no '/', so no two scopes share a row.
    let team = team.unwrap_or_default();
    format!("{KEY_PREFIX}{service}/{team}/{key}")
}

/// A binding that is wished for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestedBinding {
    /// Row of the key.
    pub row: String,
    /// Ticket and digest to bind it to.
    pub binding: KeyBinding,
}

/// What became of one wish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The key is bound as wished.
    Bound,
    /// The key was bound before.
    AlreadyBound(KeyBinding),
    /// The store is away; the key may be bound or not.
    Unknown,
}

/// Binds keys in the platform's table.
#[derive(Debug)]
pub struct KeyStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> KeyStore<'a> {
    /// Works through `client`.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Binds all keys in one transaction, but for those that are bound already.
    ///
    /// A lost reply is cleared up by the same conditional insert again: it either takes effect or
    /// comes back with the rows as they stand. The rows are deleted after `expires`.
    pub fn bind(
        &self,
        wishes: &[RequestedBinding],
        expires: SystemTime,
        batch: u128,
    ) -> Vec<KeyOutcome> {
        let mut round = Round::new(wishes);
        let mut lost_replies = 0;
        while !round.open.is_empty() {
            match self.client.commit(&round.transaction(expires, batch)) {
                Ok(result) if result.committed => round.settle_open(&KeyOutcome::Bound),
                Ok(result) if round.settle(&result.conflicts) => {}
                Ok(_) => round.give_up("the conflicts name no row of the transaction"),
                Err(e) if e.may_have_taken_effect() && lost_replies < MAX_LOST_REPLIES => {
                    lost_replies += 1;
                }
                Err(e) => round.give_up(&e.to_string()),
            }
        }
        round.into_outcomes()
    }
}

/// Wishes of one group commit and what is settled of them.
#[derive(Debug)]
struct Round<'a> {
    wishes: &'a [RequestedBinding],
    /// First wish of each row that is not settled yet.
    open: HashMap<&'a str, usize>,
    settled: HashMap<&'a str, (usize, KeyOutcome)>,
}

impl<'a> Round<'a> {
    fn new(wishes: &'a [RequestedBinding]) -> Self {
        let mut open = HashMap::new();
        for (i, wish) in wishes.iter().enumerate() {
            open.entry(wish.row.as_str()).or_insert(i);
        }
        Self {
            wishes,
            open,
            settled: HashMap::new(),
        }
    }

    fn transaction(&self, expires: SystemTime, batch: u128) -> Transaction {
        let keys = self.open.keys().map(|row| (*row).to_owned());
        let conditions = keys.clone().map(|key| TableCondition { key, version: 0 });
        let wishes = self.open.values().map(|i| &self.wishes[*i]);
        let writes = wishes.map(|wish| rows::write(wish.row.clone(), &wish.binding));
        let batch = expiry::batch_write(expires, batch, keys.collect());
        Transaction {
            conditions: conditions.collect(),
            writes: writes.chain([batch]).collect(),
        }
    }

    /// Settles the wishes whose rows exist; returns whether there was one.
    fn settle(&mut self, conflicts: &[TableRow]) -> bool {
        let before = self.open.len();
        for row in conflicts {
            let Some((key, i)) = self.open.remove_entry(row.key.as_str()) else {
                continue;
            };
            let outcome = match rows::read::<KeyBinding>(row) {
                Ok(binding) if binding == self.wishes[i].binding => KeyOutcome::Bound,
                Ok(binding) => KeyOutcome::AlreadyBound(binding),
                Err(e) => unreadable(&e),
            };
            self.settled.insert(key, (i, outcome));
        }
        self.open.len() < before
    }

    fn settle_open(&mut self, outcome: &KeyOutcome) {
        for (key, i) in self.open.drain() {
            self.settled.insert(key, (i, outcome.clone()));
        }
    }

    fn give_up(&mut self, cause: &str) {
        warn!(keys = self.open.len(), error = cause; "keys_not_bound");
        self.settle_open(&KeyOutcome::Unknown);
    }

    /// One outcome for each wish, in their order; repeats of a row follow its first wish.
    fn into_outcomes(self) -> Vec<KeyOutcome> {
        let outcome_of = |(i, wish): (usize, &RequestedBinding)| {
            let Some((first, outcome)) = self.settled.get(wish.row.as_str()) else {
                return KeyOutcome::Unknown;
            };
            match outcome {
                KeyOutcome::Bound if *first != i => {
                    KeyOutcome::AlreadyBound(self.wishes[*first].binding.clone())
                }
                other => other.clone(),
            }
        };
        self.wishes.iter().enumerate().map(outcome_of).collect()
    }
}

fn unreadable(e: &PlatformError) -> KeyOutcome {
    warn!(error = e.to_string().as_str(); "key_unreadable");
    KeyOutcome::Unknown
}
