//! Assignment of each target to the one entry VM that uses its slots first.
//!
//! Rendezvous hashing over the membership: all VMs with the same view agree without a message, and
//! a change of the membership reassigns few targets. No VM is assigned more than its share of the
//! targets, rounded up.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::names::VmName;

/// Tells for each target whether it is assigned to `own`; `targets` must have the same order on all
/// VMs.
///
/// With fewer targets than members each member is assigned every target, so that no member is
/// without a target; a target without a free slot refuses the start.
pub fn assigned_targets(own: VmName, members: &[VmName], targets: &[VmName]) -> Vec<bool> {
    if targets.len() < members.len() {
        return vec![true; targets.len()];
    }
    let max_targets = targets.len().div_ceil(members.len().max(1));
    let mut target_counts = vec![0; members.len()];
    let mut is_assigned = Vec::with_capacity(targets.len());
    for target in targets {
        let assignee = assignee_of(*target, members, &target_counts, max_targets);
        if let Some(assignee) = assignee {
            target_counts[assignee] += 1;
        }
        is_assigned.push(assignee.is_some_and(|assignee| members[assignee] == own));
    }
    is_assigned
}

fn assignee_of(
    target: VmName,
    members: &[VmName],
    target_counts: &[usize],
    max_targets: usize,
) -> Option<usize> {
    let candidates = (0..members.len()).filter(|n| target_counts[*n] < max_targets);
    candidates.max_by_key(|n| weight(target, members[*n]))
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

    fn vm_names(prefix: &str, count: usize) -> Vec<VmName> {
        let name = |n| format!("{prefix}{n}").parse().unwrap();
        (0..count).map(name).collect()
    }

    fn assigned_counts(members: &[VmName], targets: &[VmName]) -> Vec<usize> {
        let count = |own: &VmName| {
            let assigned = assigned_targets(*own, members, targets);
            assigned
                .into_iter()
                .filter(|is_assigned| *is_assigned)
                .count()
        };
        members.iter().map(count).collect()
    }

    #[test]
    fn every_target_has_one_assignee_and_no_vm_exceeds_its_share() {
        let (members, targets) = (vm_names("e", 6), vm_names("t", 50));
        let assigned_counts = assigned_counts(&members, &targets);
        assert_eq!(assigned_counts.iter().sum::<usize>(), 50);
        assert!(
            assigned_counts.iter().all(|count| *count <= 9),
            "{assigned_counts:?}"
        );
    }

    #[test]
    fn fewer_targets_than_members_are_assigned_to_all() {
        let (members, targets) = (vm_names("e", 3), vm_names("t", 2));
        assert_eq!(assigned_counts(&members, &targets), [2, 2, 2]);
    }

    #[test]
    fn removing_a_member_reassigns_few_targets() {
        let (members, targets) = (vm_names("e", 6), vm_names("t", 48));
        let before = assigned_targets(members[0], &members, &targets);
        let after = assigned_targets(members[0], &members[..5], &targets);
        let still_assigned = before
            .iter()
            .zip(&after)
            .filter(|(b, a)| **b && **a)
            .count();
        assert!(still_assigned >= 4, "{still_assigned} of 8 still assigned");
    }
}
