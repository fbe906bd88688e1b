//! Home of each target: the one entry VM that uses its slots first.
//!
//! Rendezvous hashing over the membership, so that all VMs with the same view agree without a
//! message and a change of the membership moves few targets. No VM is home of more than its share,
//! rounded up.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::names::VmName;

/// Picks out the targets whose home is `own`; `targets` must be in the same order everywhere.
///
/// Where there are fewer targets than members, every member uses all of them, so that none is left
/// without; the targets' refusals keep them apart.
pub fn assigned_targets(own: VmName, members: &[VmName], targets: &[VmName]) -> Vec<bool> {
    if targets.len() < members.len() {
        return vec![true; targets.len()];
    }
    let most = targets.len().div_ceil(members.len().max(1));
    let mut counts = vec![0; members.len()];
    let mut is_home = Vec::with_capacity(targets.len());
    for target in targets {
        let home = assignee_of(*target, members, &counts, most);
        if let Some(home) = home {
            counts[home] += 1;
        }
        is_home.push(home.is_some_and(|home| members[home] == own));
    }
    is_home
}

fn assignee_of(target: VmName, members: &[VmName], counts: &[usize], most: usize) -> Option<usize> {
    let open = (0..members.len()).filter(|n| counts[*n] < most);
    open.max_by_key(|n| weight(target, members[*n]))
}

fn weight(target: VmName, member: VmName) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(target.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(member.as_str().as_bytes());
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(prefix: &str, count: usize) -> Vec<VmName> {
        let name = |n| format!("{prefix}{n}").parse().unwrap();
        (0..count).map(name).collect()
    }

    fn owned(members: &[VmName], targets: &[VmName]) -> Vec<usize> {
        let count = |own: &VmName| {
            let homes = assigned_targets(*own, members, targets);
            homes.into_iter().filter(|is_home| *is_home).count()
        };
        members.iter().map(count).collect()
    }

    #[test]
    fn every_target_has_one_home_and_no_vm_more_than_its_share() {
        let (members, targets) = (names("e", 6), names("t", 50));
        let owned = owned(&members, &targets);
        assert_eq!(owned.iter().sum::<usize>(), 50);
        assert!(owned.iter().all(|count| *count <= 9), "{owned:?}");
    }

    #[test]
    fn few_targets_are_used_by_all() {
        let (members, targets) = (names("e", 3), names("t", 2));
        assert_eq!(owned(&members, &targets), [2, 2, 2]);
    }

    #[test]
    fn a_lost_member_moves_few_targets() {
        let (members, targets) = (names("e", 6), names("t", 48));
        let before = assigned_targets(members[0], &members, &targets);
        let after = assigned_targets(members[0], &members[..5], &targets);
        let kept = before
            .iter()
            .zip(&after)
            .filter(|(b, a)| **b && **a)
            .count();
        assert!(kept >= 4, "{kept} of 8 kept");
    }
}
