//! Selection of the owners of a group, in small and in large fleets.

use std::collections::BTreeSet;

use proxy::{Candidate, owners};

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
    let selected = owners(group, conns, &fleet(&names))?;
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
        let selected = owners(&format!("g{group}"), 32, &fleet).expect("a large fleet");
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
        let before = owners(&group, 32, &full_fleet).expect("a large fleet");
        let after = owners(&group, 32, &reduced_fleet).expect("a large fleet");
        moved += after.iter().filter(|c| !before.contains(c)).count();
    }
    assert!(moved <= 40, "{moved} of 800 owners changed");
}
