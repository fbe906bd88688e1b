//! Rows that are deleted after a time: batches of their keys, in order of that time.
//!
//! Whoever writes such rows names them in a batch of the same transaction, so that the deletion
//! needs no scan of the table and no row is forgotten.

use std::time::{Duration, SystemTime};

use geraniumrelay_wire::{ExpiryBatch, TableCondition, TableRow, TableWrite, Transaction};

use crate::client::PlatformClient;
use crate::error::PlatformError;
use crate::rows;

/// Prefix of all batches.
pub const EXPIRY_PREFIX: &str = "expiry/";

/// Digits of the time in a batch's key.
const TIME_DIGITS: usize = 12;

/// Write of the batch that has `keys` deleted after `expires`; `id` tells batches apart.
pub fn batch_write(expires: SystemTime, id: u128, keys: Vec<String>) -> TableWrite {
    let seconds = unix_seconds(expires);
    rows::write(
        format!("{EXPIRY_PREFIX}{seconds:0TIME_DIGITS$}/{id:032x}"),
        &ExpiryBatch { keys },
    )
}

/// Deletes rows that have expired.
#[derive(Debug)]
pub struct ExpiryStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> ExpiryStore<'a> {
    /// Works through `client`.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Deletes the rows of up to `max_batches` expired batches; returns how many rows went.
    ///
    /// Several VMs may sweep at once: the batch's version lets one of them delete it.
    ///
    /// # Errors
    /// Any [`PlatformError`]; what was not deleted stays for the next sweep.
    pub fn sweep(&self, now: SystemTime, max_batches: u32) -> Result<usize, PlatformError> {
        let found = self.client.rows(EXPIRY_PREFIX, "", max_batches)?;
        let mut deleted = 0;
        for row in found.rows {
            if expires_of(&row.key).is_none_or(|at| at > now) {
                break;
            }
            deleted += self.delete(&row)?;
        }
        Ok(deleted)
    }

    fn delete(&self, row: &TableRow) -> Result<usize, PlatformError> {
        let batch: ExpiryBatch = rows::read(row)?;
        let count = batch.keys.len();
        let keys = batch.keys.into_iter().chain([row.key.clone()]);
        let transaction = Transaction {
            conditions: vec![TableCondition {
                key: row.key.clone(),
                version: row.version,
            }],
            writes: keys.map(rows::deletion).collect(),
        };
        let result = self.client.commit(&transaction)?;
        Ok(if result.committed { count } else { 0 })
    }
}

fn unix_seconds(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}

fn expires_of(key: &str) -> Option<SystemTime> {
    let seconds = key.strip_prefix(EXPIRY_PREFIX)?.split('/').next()?;
    Some(SystemTime::UNIX_EPOCH + Duration::from_secs(seconds.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_batch_carries_its_time_in_its_key() {
        let at = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000);
        let write = batch_write(at, 7, vec!["a".to_owned()]);
        assert_eq!(expires_of(&write.key), Some(at));
        assert_eq!(expires_of("expiry/x/1"), None);
    }
}
