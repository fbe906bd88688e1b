//! Budget for retrying task starts that did not take effect.
//!
//! Each first start earns a fraction of a retry, so that retries stay a bounded share of all starts
//! even when every target refuses.

use crate::configs::retry::RetryConfig;

/// Cost of one retry, in tenths.
const RETRY_COST_TENTHS: u32 = 10;

/// Retry credit saved so far.
#[derive(Debug)]
pub struct RetryBudget {
    saved_tenths: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(cfg: &RetryConfig) -> Self {
        Self {
            saved_tenths: cfg.max_saved_tenths,
        }
    }

    /// Credits a first start, up to the maximum.
    pub fn earn(&mut self, cfg: &RetryConfig) {
        self.saved_tenths = (self.saved_tenths + cfg.earned_tenths).min(cfg.max_saved_tenths);
    }

    /// Spends one retry; `false` if the credit does not suffice.
    pub fn try_spend(&mut self) -> bool {
        let Some(rest) = self.saved_tenths.checked_sub(RETRY_COST_TENTHS) else {
            return false;
        };
        self.saved_tenths = rest;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ten_first_starts_earn_one_retry() {
        let cfg = RetryConfig {
            max_saved_tenths: 10,
            ..RetryConfig::default()
        };
        let mut budget = RetryBudget::new(&cfg);
        assert!(budget.try_spend());
        for _ in 0..9 {
            budget.earn(&cfg);
        }
        assert!(!budget.try_spend());
        budget.earn(&cfg);
        assert!(budget.try_spend());
    }
}
