//! Which daemons serve a group, in small and in large fleets.

use std::collections::BTreeSet;

use proxy::{Candidate, owners};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("vm-{n}")).collect()
}

/// A fleet of three data centres.
fn fleet(names: &[String]) -> Vec<Candidate<'_>> {
    const CENTRES: [&str; 3] = ["a", "b", "c"];
    let mut fleet = Vec::new();
    for (n, name) in names.iter().enumerate() {
        fleet.push(Candidate {
            name,
            data_center: CENTRES[n % 3],
        });
    }
    fleet
}

fn chosen(group: &str, conns: u64, count: usize) -> Option<BTreeSet<String>> {
    let names = names(count);
    let homes = owners(group, conns, &fleet(&names))?;
    Some(homes.iter().map(|c| c.name.to_owned()).collect())
}

#[test]
fn all_daemons_of_a_small_fleet_serve_all_groups() {
    assert!(chosen("g", 16, 7).is_none());
    assert!(chosen("g", 46, 12).is_none());
}

/// The load that it answers: 58 daemons before members of 32 connections opened and lost 160,306
/// connections in a calm day when each connected to all members.
#[test]
fn connections_of_a_member_go_round() {
    for group in ["g0", "g1", "g2", "g3"] {
        let homes = chosen(group, 32, 58).expect("a large fleet");
        assert_eq!(homes.len(), 8);
        assert!(homes.len() * 3 <= 32);
    }
}

#[test]
fn every_data_centre_has_its_share() {
    let names = names(58);
    let fleet = fleet(&names);
    for group in 0..50 {
        let homes = owners(&format!("g{group}"), 32, &fleet).expect("a large fleet");
        for centre in ["a", "b", "c"] {
            let here = homes.iter().filter(|c| c.data_center == centre).count();
            assert!((2..=3).contains(&here), "g{group} has {here} in {centre}");
        }
    }
}

#[test]
fn a_lost_daemon_moves_few_homes() {
    let names = names(58);
    let whole = fleet(&names);
    let less: Vec<Candidate> = whole[1..].to_vec();
    let mut moved = 0;
    for group in 0..100 {
        let group = format!("g{group}");
        let before = owners(&group, 32, &whole).expect("a large fleet");
        let after = owners(&group, 32, &less).expect("a large fleet");
        moved += after.iter().filter(|c| !before.contains(c)).count();
    }
    assert!(moved <= 40, "{moved} of 800 moved");
}
