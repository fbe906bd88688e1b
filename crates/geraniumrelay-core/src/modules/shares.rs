//! Fair shares of teams, by what they ask for and by the slots that they use.

use std::time::Instant;

use crate::collections::Map;
use crate::configs::shares::SharesConfig;
use crate::modules::decayed::DecayingSum;
use crate::names::TeamName;

/// Share of a team that the sheet names none of.
const DEFAULT_SHARE: u32 = 1;

/// A team counts as active from this part of all slot time on.
const ACTIVE_DIVISOR: f64 = 1_000.0;

#[derive(Debug)]
struct Team {
    share: u32,
    offered_s: DecayingSum,
    in_use: u32,
    /// Slots of its share, while it asks for far more than that.
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
/// A team that asks for far more than its share, while others ask too, keeps to the slots of its
/// share: it takes its turn up to half of them, goes last up to all of them, and takes more only
/// while most slots are free.
#[derive(Debug, Default)]
pub struct Shares {
    teams: Map<Option<TeamName>, Team>,
    limited: Vec<Option<TeamName>>,
}

impl Shares {
    /// Sets the shares of the sheet.
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

    /// Notes slot time that a team asks for.
    pub fn add_demand(
        &mut self,
        now: Instant,
        cfg: &SharesConfig,
        name: Option<TeamName>,
        run_s: f64,
    ) {
        self.team(now, cfg, name).offered_s.add(now, run_s);
    }

    /// Notes a slot that a team begins to use.
    pub fn start(&mut self, name: Option<TeamName>) {
        if let Some(team) = self.teams.get_mut(&name) {
            team.in_use += 1;
        }
    }

    /// Notes a slot that a team uses no longer.
    pub fn end(&mut self, name: Option<TeamName>) {
        if let Some(team) = self.teams.get_mut(&name) {
            team.in_use = team.in_use.saturating_sub(1);
        }
    }

    /// Whether a team that asks for far more than its share goes behind the others.
    pub fn is_deprioritized(&self, name: Option<TeamName>) -> bool {
        self.teams.get(&name).is_some_and(Team::is_deprioritized)
    }

    /// Whether a team has used up its share and asks for far more.
    pub fn is_over(&self, name: Option<TeamName>) -> bool {
        self.teams.get(&name).is_some_and(Team::is_over_share)
    }

    /// Slots of a team's share, while it is kept to them.
    pub fn quota(&self, name: Option<TeamName>) -> Option<u32> {
        self.teams.get(&name)?.quota
    }

    /// Teams that are kept to their share.
    pub fn limited(&self) -> impl Iterator<Item = Option<TeamName>> {
        self.limited.iter().copied()
    }

    /// Works out anew which teams are kept to their share of `slots`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a count of slots, and never negative"
    )]
    pub fn refresh(&mut self, now: Instant, cfg: &SharesConfig, slots: u32) {
        let all_s = f64::from(slots) * cfg.window.as_secs_f64();
        let is_active = |team: &&Team| team.offered_s.get(now) > all_s / ACTIVE_DIVISOR;
        let active = self.teams.values().filter(is_active);
        let shares: u32 = active.map(|team| team.share).sum();
        self.limited.clear();
        for (name, team) in &mut self.teams {
            let fraction = f64::from(team.share) / f64::from(shares.max(1));
            let asks_more = team.offered_s.get(now) > all_s * fraction * cfg.tolerance;
            let is_alone = shares <= team.share;
            let quota = (f64::from(slots) * fraction).ceil() as u32;
            team.quota = (asks_more && !is_alone).then_some(quota);
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
    fn a_team_is_kept_to_its_share_only_beside_others() {
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
        assert!(!shares.is_over(big), "its share is its own");
    }
}
