//! Budget for starting tasks again that did not start.
//!
//! Each first start earns a fraction of a retry, so that retries stay a bounded share of all
//! starts when every target refuses.

use crate::configs::retry::RetryConfig;

/// Tenths of a retry that one retry costs.
const RETRY_COST_TENTHS: u32 = 10;

/// Saved-up retries.
#[derive(Debug)]
pub struct RetryBudget {
    saved_tenths: u32,
}

impl RetryBudget {
    /// Starts with a full budget.
    pub fn new(cfg: &RetryConfig) -> Self {
        Self {
            saved_tenths: cfg.max_saved_tenths,
        }
    }

    /// Notes a first start.
    pub fn earn(&mut self, cfg: &RetryConfig) {
        self.saved_tenths = (self.saved_tenths + cfg.earned_tenths).min(cfg.max_saved_tenths);
    }

    /// Takes one retry out of the budget, if it has one.
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
    fn ten_starts_earn_one_retry() {
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
