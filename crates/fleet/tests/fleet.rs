//! Tests of rendezvous ranking, the push tree, the config store and patches.

// Quickcheck passes generated values by value.
#![allow(clippy::needless_pass_by_value)]

use std::collections::BTreeSet;

use fleet::{
    ConfigStore, FAN_OUT, OfferOutcome, branches, create_patch, next_version, rank_candidates,
};
use property::check_property;
use quickcheck::TestResult;
use schema::Item;
use serde_json::{Value, json};

fn institution_json(version: u64, callers: u64) -> Value {
    json!({"name": "lakeshore", "version": version, "callers": callers, "users": [], "groups": [], "services": []})
}

fn item(version: u64, callers: u64) -> Item {
    Item {
        name: "lakeshore".into(),
        version,
        from: 0,
        text: institution_json(version, callers).to_string().into(),
    }
}

fn assert_offer(store: &ConfigStore, item: &Item, expected: &OfferOutcome) {
    assert_eq!(store.offer(item), *expected, "version {}", item.version);
}

/// An item that arrives late must not replace a newer version, and a patch must apply only to its
/// base version.
#[test]
fn versions_never_decrease() {
    let store = ConfigStore::default();
    assert_offer(&store, &item(3, 10), &OfferOutcome::Applied);
    assert_offer(&store, &item(3, 10), &OfferOutcome::Current);
    assert_offer(&store, &item(2, 99), &OfferOutcome::Outdated);
    assert_eq!(
        store
            .institution("lakeshore")
            .expect("the institution is in force")
            .callers,
        10
    );
    let patch_text = create_patch(&institution_json(3, 10), &institution_json(4, 20));
    let patch = Item {
        from: 3,
        version: 4,
        text: patch_text.clone(),
        ..item(4, 0)
    };
    assert_offer(&store, &patch, &OfferOutcome::Applied);
    assert_eq!(
        store
            .institution("lakeshore")
            .expect("the institution is in force")
            .callers,
        20
    );
    let unknown_base = Item {
        from: 7,
        version: 8,
        text: patch_text,
        ..item(8, 0)
    };
    assert_offer(&store, &unknown_base, &OfferOutcome::NeedsFullObject);
}

/// An invalid object from a peer or the platform must not disable an institution.
#[test]
fn invalid_objects_leave_the_previous_version_in_force() {
    let store = ConfigStore::default();
    assert_offer(&store, &item(1, 10), &OfferOutcome::Applied);
    let invalid = |text: &str| Item {
        text: text.into(),
        ..item(2, 0)
    };
    for text in [
        // Not JSON.
        "{",
        // Fields are missing.
        "{\"name\": \"lakeshore\"}",
        // The version differs from that of the item.
        &institution_json(5, 10).to_string(),
        // Validation fails: the limit on callers is below 1.
        &institution_json(2, 0).to_string(),
    ] {
        assert!(
            matches!(store.offer(&invalid(text)), OfferOutcome::Invalid(_)),
            "{text}"
        );
    }
    assert_eq!(
        store
            .institution("lakeshore")
            .expect("the institution is in force")
            .version,
        1
    );
}

/// A retried patch is recognized by its recorded identifier; a patch may neither rename the
/// institution nor add unknown fields.
#[test]
fn patch_creates_the_next_version_and_records_its_id() {
    let first = next_version(None, "one", &institution_json(0, 5).to_string())
        .expect("the institution is valid");
    let text = json!([{"op": "replace", "path": "/callers", "value": 6}]).to_string();
    let second = next_version(Some(&first), "two", &text).expect("the institution is valid");
    assert_eq!((second.version, second.callers), (2, 6));
    assert_eq!(
        second.recent.iter().map(|n| &*n.id).collect::<Vec<_>>(),
        ["one", "two"]
    );
    let rename = json!([{"op": "replace", "path": "/name", "value": "other"}]).to_string();
    assert!(next_version(Some(&first), "three", &rename).is_err());
    let unknown = json!([{"op": "add", "path": "/colour", "value": 1}]).to_string();
    assert!(next_version(Some(&first), "four", &unknown).is_err());
}

fn names(count: usize) -> Vec<Box<str>> {
    (0..count).map(|i| format!("d{i}").into()).collect()
}

/// Returns the daemons that a push reaches, one entry for each delivery.
fn reached(recipients: &[Box<str>]) -> Vec<Box<str>> {
    let deliver = |branch: Vec<Box<str>>| {
        let mut all = vec![branch[0].clone()];
        all.extend(reached(&branch[1..]));
        all
    };
    branches(recipients).into_iter().flat_map(deliver).collect()
}

/// A push reaches every daemon exactly once, and its sender sends to at most `FAN_OUT` daemons.
#[test]
fn push_reaches_every_daemon_once() {
    fn property(count: u8) -> bool {
        let all = names(usize::from(count));
        let got = reached(&all);
        let set: BTreeSet<_> = got.iter().collect();
        got.len() == all.len() && set.len() == all.len() && branches(&all).len() <= FAN_OUT
    }
    check_property(property as fn(u8) -> bool);
}

/// When a daemon leaves, only the members that it owned may move to another daemon.
#[test]
fn removing_a_name_keeps_the_order_of_the_others() {
    fn property(count: u8, key: u64) -> TestResult {
        if count < 3 {
            return TestResult::discard();
        }
        let all = names(usize::from(count));
        let key = key.to_string();
        let before = rank_candidates(&key, all.iter().map(|n| &**n));
        let removed = before[1];
        let after = rank_candidates(&key, all.iter().map(|n| &**n).filter(|n| *n != removed));
        let rest: Vec<&str> = before.into_iter().filter(|n| *n != removed).collect();
        TestResult::from_bool(rest == after)
    }
    check_property(property as fn(u8, u64) -> TestResult);
}
