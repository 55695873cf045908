//! Selection of the owners of a group, in small and in large fleets.

use std::collections::BTreeSet;

use proxy::{Candidate, Placement, owners, rank_owners};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("vm-{n}")).collect()
}

/// A fleet of three data centres.
fn fleet(names: &[String]) -> Vec<Candidate<'_>> {
    const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
    let mut fleet = Vec::new();
    for (n, name) in names.iter().enumerate() {
        fleet.push(Candidate {
            name,
            data_center: DATA_CENTRES[n % 3],
        });
    }
    fleet
}

/// Names of a group's owners in a fleet of `count` daemons.
fn owner_names(group: &str, conns: u64, count: usize) -> Option<BTreeSet<String>> {
    let names = names(count);
    let selected = owners(group, conns, Placement::AnyOwner, &fleet(&names))?;
    Some(selected.iter().map(|c| c.name.to_owned()).collect())
}

/// Guards against needless hand-offs in a fleet whose daemons can all connect to every member.
#[test]
fn all_daemons_of_a_small_fleet_serve_all_groups() {
    assert!(owner_names("g", 16, 7).is_none());
    assert!(owner_names("g", 46, 12).is_none());
}

/// Guards against exhausting the connections of members: when 58 daemons all connected to members
/// that accept 32 connections each, they opened and lost 160,306 connections in a day without
/// faults.
#[test]
fn connections_of_a_member_suffice_for_its_owners() {
    for group in ["g0", "g1", "g2", "g3"] {
        let selected = owner_names(group, 32, 58).expect("a large fleet");
        assert_eq!(selected.len(), 8);
        assert!(selected.len() * 3 <= 32);
    }
}

/// Guards against a group that has no owner after the loss of a data centre.
#[test]
fn owners_are_spread_over_data_centres() {
    let names = names(58);
    let fleet = fleet(&names);
    for group in 0..50 {
        let selected =
            owners(&format!("g{group}"), 32, Placement::AnyOwner, &fleet).expect("a large fleet");
        for data_center in ["a", "b", "c"] {
            let here = selected
                .iter()
                .filter(|c| c.data_center == data_center)
                .count();
            assert!(
                (2..=3).contains(&here),
                "g{group} has {here} owners in {data_center}"
            );
        }
    }
}

/// Guards against moving the sessions of most groups when the fleet changes by one daemon.
#[test]
fn the_loss_of_a_daemon_changes_few_owners() {
    let names = names(58);
    let full_fleet = fleet(&names);
    let reduced_fleet: Vec<Candidate> = full_fleet[1..].to_vec();
    let mut moved = 0;
    for group in 0..100 {
        let group = format!("g{group}");
        let before = owners(&group, 32, Placement::AnyOwner, &full_fleet).expect("a large fleet");
        let after = owners(&group, 32, Placement::AnyOwner, &reduced_fleet).expect("a large fleet");
        moved += after.iter().filter(|c| !before.contains(c)).count();
    }
    assert!(moved <= 40, "{moved} of 800 owners changed");
}

/// Guards against owners that differ between versions of the program: the hash is part of what
/// daemons of different versions must agree on.
#[test]
fn the_hash_of_owners_is_fixed() {
    let names = names(16);
    let selected = owners("g", 16, Placement::AnyOwner, &fleet(&names)).expect("a large fleet");
    let selected: Vec<&str> = selected.iter().map(|c| c.name).collect();
    assert_eq!(selected, ["vm-3", "vm-14", "vm-4", "vm-0"]);
    let ranked = rank_owners("g", "a", &[("vm-0", 1.0), ("vm-1", 1.0), ("vm-2", 1.0)]);
    assert_eq!(ranked, [2, 0, 1]);
}

/// Guards against more owners than a member has connections for, when each connection serves one
/// account only.
#[test]
fn accounts_have_fewer_owners_also_in_a_small_fleet() {
    let count = |conns, fleet_size| {
        let names = names(fleet_size);
        let selected = owners("g", conns, Placement::ByAccount, &fleet(&names));
        selected.expect("there are always owners").len()
    };
    let counts = [count(56, 86), count(29, 75), count(200, 86), count(56, 7)];
    assert_eq!(counts, [6, 3, 8, 6]);
    assert_eq!(count(56, 2), 2);
}

/// Guards against an account whose sessions meet at different daemons, and against owners that get
/// hardly any account, or none.
#[test]
fn accounts_are_ranked_evenly_over_the_owners() {
    let owners = [("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", 2.0)];
    let mut reversed = owners;
    reversed.reverse();
    let mut firsts = [0; 4];
    for account in 0..5000 {
        let account = format!("account-{account}");
        let ranked = rank_owners("g", &account, &owners);
        let other_order = rank_owners("g", &account, &reversed);
        let mapped: Vec<usize> = other_order.iter().map(|i| 3 - i).collect();
        assert_eq!(ranked, mapped);
        firsts[ranked[0]] += 1;
    }
    assert!((900..1100).contains(&firsts[0]), "{firsts:?}");
    assert!((1850..2150).contains(&firsts[3]), "{firsts:?}");
}

/// Guards against moving accounts between owners that are still there when one is lost.
#[test]
fn the_loss_of_an_owner_moves_only_its_accounts() {
    let owners = [("a", 1.0), ("b", 1.0), ("c", 1.0)];
    for account in 0..500 {
        let account = format!("account-{account}");
        let ranked = rank_owners("g", &account, &owners);
        let mut expected = ranked.clone();
        expected.retain(|&i| i != 2);
        assert_eq!(rank_owners("g", &account, &owners[..2]), expected);
    }
}
