//! Expiry of table rows: batches of keys, ordered by expiry time.
//!
//! A transaction that writes expiring rows also writes a batch with their keys, so that every such
//! row is deleted and the deletion needs no scan of the table.

use std::time::{Duration, SystemTime};

use geraniumrelay_wire::{ExpiryBatch, TableCondition, TableRow, TableWrite, Transaction};

use crate::client::PlatformClient;
use crate::error::PlatformError;
use crate::rows;

/// Key prefix of the batches.
pub const EXPIRY_PREFIX: &str = "expiry/";

/// Decimal digits of the expiry time, in Unix seconds, in the key of a batch.
const TIME_DIGITS: usize = 12;

/// Returns the write of a batch that expires `keys` after `expires`; `id` makes its key unique.
pub fn batch_write(expires: SystemTime, id: u128, keys: Vec<String>) -> TableWrite {
    let seconds = unix_seconds(expires);
    rows::write(
        format!("{EXPIRY_PREFIX}{seconds:0TIME_DIGITS$}/{id:032x}"),
        &ExpiryBatch { keys },
    )
}

/// Deletes expired rows.
#[derive(Debug)]
pub struct ExpiryStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> ExpiryStore<'a> {
    /// Creates a store that uses `client`.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Deletes the rows of up to `max_batches` expired batches; returns the number of deleted rows.
    ///
    /// Several VMs may sweep concurrently: the deletion is conditional on the version of the batch,
    /// so only one of them deletes it.
    ///
    /// # Errors
    /// Any [`PlatformError`]; the remaining rows are left for the next sweep.
    pub fn sweep(&self, now: SystemTime, max_batches: u32) -> Result<usize, PlatformError> {
        let found = self.client.rows(EXPIRY_PREFIX, "", max_batches)?;
        let mut deleted = 0;
        for row in found.rows {
            if expiry_time(&row.key).is_none_or(|at| at > now) {
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

fn expiry_time(key: &str) -> Option<SystemTime> {
    let seconds = key.strip_prefix(EXPIRY_PREFIX)?.split('/').next()?;
    Some(SystemTime::UNIX_EPOCH + Duration::from_secs(seconds.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn batch_key_contains_expiry_time() {
        let at = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000);
        let write = batch_write(at, 7, vec!["a".to_owned()]);
        assert_eq!(expiry_time(&write.key), Some(at));
        assert_eq!(expiry_time("expiry/x/1"), None);
    }
}
