//! Fair shares of teams, by their recent demand and by the slots that they use.

use std::time::Instant;

use crate::collections::Map;
use crate::configs::shares::SharesConfig;
use crate::modules::decaying_sum::DecayingSum;
use crate::names::TeamName;

/// Share of a team that is not in the sheet.
const DEFAULT_SHARE: u32 = 1;

/// A team counts as active if its demand exceeds the total slot time divided by this number.
const ACTIVE_DIVISOR: f64 = 1_000.0;

#[derive(Debug)]
struct Team {
    share: u32,
    offered_s: DecayingSum,
    in_use: u32,
    /// Slots of the share while the demand is far above them, else `None`.
    quota: Option<u32>,
}

impl Team {
    fn is_deprioritized(&self) -> bool {
        self.quota.is_some_and(|quota| 2 * self.in_use >= quota)
    }

    fn is_over_share(&self) -> bool {
        self.quota.is_some_and(|quota| self.in_use >= quota)
    }
}

/// Teams of one service; jobs without a team count as one team.
///
/// A team whose demand is far above its share, while other teams have demand too, is limited to the
/// slots of its share: it takes turns with other teams up to half of these slots, is deprioritized
/// up to all of them, and gets more only while most slots are free.
#[derive(Debug, Default)]
pub struct Shares {
    teams: Map<Option<TeamName>, Team>,
    limited: Vec<Option<TeamName>>,
}

impl Shares {
    /// Sets the shares that the sheet gives.
    pub fn set(&mut self, now: Instant, cfg: &SharesConfig, shares: &Map<TeamName, u32>) {
        for (name, share) in shares {
            self.team(now, cfg, Some(*name)).share = *share;
        }
    }

    fn team(&mut self, now: Instant, cfg: &SharesConfig, name: Option<TeamName>) -> &mut Team {
        self.teams.entry(name).or_insert_with(|| Team {
            share: DEFAULT_SHARE,
            offered_s: DecayingSum::new(now, cfg.window),
            in_use: 0,
            quota: None,
        })
    }

    /// Adds demand of a team, in seconds of slot time.
    pub fn add_demand(
        &mut self,
        now: Instant,
        cfg: &SharesConfig,
        name: Option<TeamName>,
        run_s: f64,
    ) {
        self.team(now, cfg, name).offered_s.add(now, run_s);
    }

    /// Records that a team occupies one more slot.
    pub fn start(&mut self, name: Option<TeamName>) {
        if let Some(team) = self.teams.get_mut(&name) {
            team.in_use += 1;
        }
    }

    /// Records that a team released a slot.
    pub fn end(&mut self, name: Option<TeamName>) {
        if let Some(team) = self.teams.get_mut(&name) {
            team.in_use = team.in_use.saturating_sub(1);
        }
    }

    /// Whether a limited team uses at least half of its share and so comes after other teams.
    pub fn is_deprioritized(&self, name: Option<TeamName>) -> bool {
        self.teams.get(&name).is_some_and(Team::is_deprioritized)
    }

    /// Whether a limited team has used up its share.
    pub fn is_over(&self, name: Option<TeamName>) -> bool {
        self.teams.get(&name).is_some_and(Team::is_over_share)
    }

    /// Slots of a team's share; `None` unless the team is limited to them.
    pub fn quota(&self, name: Option<TeamName>) -> Option<u32> {
        self.teams.get(&name)?.quota
    }

    /// Teams that are limited to their share.
    pub fn limited(&self) -> impl Iterator<Item = Option<TeamName>> {
        self.limited.iter().copied()
    }

    /// Recomputes which teams are limited to their share of `slots`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a count of slots, and never negative"
    )]
    pub fn refresh(&mut self, now: Instant, cfg: &SharesConfig, slots: u32) {
        let total_s = f64::from(slots) * cfg.window.as_secs_f64();
        let is_active = |team: &&Team| team.offered_s.get(now) > total_s / ACTIVE_DIVISOR;
        let active = self.teams.values().filter(is_active);
        let shares: u32 = active.map(|team| team.share).sum();
        self.limited.clear();
        for (name, team) in &mut self.teams {
            let fraction = f64::from(team.share) / f64::from(shares.max(1));
            let exceeds_tolerance = team.offered_s.get(now) > total_s * fraction * cfg.tolerance;
            let is_alone = shares <= team.share;
            let quota = (f64::from(slots) * fraction).ceil() as u32;
            team.quota = (exceeds_tolerance && !is_alone).then_some(quota);
            if team.quota.is_some() {
                self.limited.push(*name);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_team_is_limited_to_its_share_only_beside_active_teams() {
        let (now, cfg) = (Instant::now(), SharesConfig::default());
        let (big, small) = (Some("big".parse().unwrap()), Some("small".parse().unwrap()));
        let mut shares = Shares::default();
        shares.add_demand(now, &cfg, big, 10_000.0);
        (0..5).for_each(|_| shares.start(big));
        shares.refresh(now, &cfg, 10);
        assert!(!shares.is_over(big));
        shares.add_demand(now, &cfg, small, 10.0);
        shares.refresh(now, &cfg, 10);
        assert!(shares.is_over(big));
        assert!(!shares.is_over(small));
        shares.end(big);
        assert!(!shares.is_over(big), "a team may use its whole share");
    }
}
