//! Which orders of promotions count as on their way.

use base::Ms;
use proxy::{Leader, OrderAnswer, OrderLog, PromotionOrder, settle};

fn order(member: &str, term: u64, token: u64, is_accepted: bool) -> PromotionOrder {
    PromotionOrder {
        member: member.into(),
        term,
        holder: "vm-1".into(),
        token,
        call: 0,
        is_answered: is_accepted,
        is_accepted,
        is_void: false,
    }
}

/// Checks which orders are left, as (token, term), once a member is seen to lead a term.
fn check_settled(orders: &[PromotionOrder], leader: (&str, u64), expect: &[(u64, u64)]) {
    let mut left = orders.to_vec();
    let leader = Leader {
        term: leader.1,
        id: leader.0.into(),
    };
    // The same leader is seen again by the next change.
    settle(&mut left, &leader);
    settle(&mut left, &leader);
    let left: Vec<(u64, u64)> = left.iter().map(|o| (o.token, o.term)).collect();
    assert_eq!(left, expect, "{orders:?} {leader:?}");
}

/// Guards against an order that is forgotten although only another one to the same member has taken
/// effect, and against one that is kept after its effect.
#[test]
fn a_new_primary_settles_one_order_to_it() {
    check_settled(&[order("a", 3, 7, false)], ("a", 3), &[]);
    check_settled(&[order("a", 3, 7, true)], ("a", 4), &[]);
    let two = [order("a", 3, 7, false), order("a", 3, 9, false)];
    check_settled(&two, ("a", 3), &[(9, 4)]);
    let answered = [order("a", 3, 7, false), order("a", 3, 9, true)];
    check_settled(&answered, ("a", 3), &[(7, 4)]);
}

/// Guards against an order that is forgotten because of a primary that leads by something else.
#[test]
fn a_primary_of_an_earlier_term_and_another_member_settle_nothing() {
    check_settled(&[order("a", 3, 7, false)], ("a", 2), &[(7, 3)]);
    check_settled(&[order("a", 3, 7, false)], ("b", 3), &[(7, 3)]);
}

/// Tokens of the orders that are left on record when they are read at these instants, in ms.
fn left_at(instants: &[u64], is_accepted: bool) -> Vec<Vec<u64>> {
    let mut log = OrderLog::new("vm-2");
    let mut orders = vec![order("a", 3, 7, is_accepted)];
    let mut left = Vec::new();
    for at in instants {
        log.update(&mut orders, Ms(*at));
        left.push(orders.iter().map(|o| o.token).collect());
    }
    left
}

/// Guards against a group that waits for ever for a member that does not come back, and against an order
/// that a daemon drops as soon as it learns of it.
#[test]
fn an_order_is_dropped_after_its_lifetime() {
    let none: Vec<u64> = Vec::new();
    let left = left_at(&[1_000_000, 1_019_999, 1_020_000], false);
    assert_eq!(left, [vec![7], vec![7], none.clone()]);
    let left = left_at(&[1_000_000, 1_007_999, 1_008_000], true);
    assert_eq!(left, [vec![7], vec![7], none]);
}

/// Guards against an age that begins again with an answer.
#[test]
fn the_age_of_an_order_counts_from_its_first_sight() {
    let mut log = OrderLog::new("vm-2");
    let mut orders = vec![order("a", 3, 7, false)];
    log.update(&mut orders, Ms(0));
    orders[0].is_accepted = true;
    assert!(log.update(&mut orders, Ms(19_000)).is_empty());
    assert_eq!(log.age_ms(&orders[0], Ms(19_500)), 19_500);
    assert_eq!(log.update(&mut orders, Ms(20_000)).len(), 1);
}

/// Guards against commits that are acknowledged at one member while an order for another may take effect.
#[test]
fn only_an_order_for_another_member_stands_against_a_primary() {
    let mut log = OrderLog::new("vm-2");
    let mut orders = vec![order("a", 3, 7, false)];
    log.update(&mut orders, Ms(0));
    assert!(!log.has_order_for_other("a", Ms(1)));
    assert!(log.has_order_for_other("b", Ms(19_999)));
    assert!(!log.has_order_for_other("b", Ms(20_000)));
    orders.clear();
    log.update(&mut orders, Ms(1));
    assert!(!log.has_order_for_other("b", Ms(1)));
}

/// Guards against a daemon that refuses the next primary because it has not heard that an order was
/// carried out.
#[test]
fn a_primary_that_is_seen_settles_the_order_that_this_daemon_knows() {
    let mut log = OrderLog::new("vm-2");
    log.update(&mut vec![order("a", 3, 7, false)], Ms(0));
    log.on_leader(&Leader {
        term: 3,
        id: "a".into(),
    });
    assert!(!log.has_order_for_other("b", Ms(1)));
}

/// Guards against an order that is forgotten because a restore of the store has undone its record, and
/// against one that nobody remembers and that is taken for settled.
#[test]
fn an_order_that_a_restore_has_undone_is_known_from_before_or_unknown() {
    let mut log = OrderLog::new("vm-2");
    let known = vec![order("a", 3, 7, false)];
    log.update(&mut known.clone(), Ms(0));
    let mut read = vec![PromotionOrder::unknown(1)];
    log.update(&mut read, Ms(1));
    assert_eq!(read, known);

    let mut log = OrderLog::new("vm-2");
    let mut read = vec![PromotionOrder::unknown(1)];
    log.update(&mut read, Ms(0));
    assert!(log.has_order_for_other("a", Ms(19_999)));
    check_settled(&read, ("a", 3), &[]);
}

/// Guards against an accepted order that holds a group up for the lifetime of one without an answer: its
/// sender has the answer, but lost the claim before it could record that.
#[test]
fn the_sender_of_an_order_remembers_that_it_was_accepted() {
    let mut log = OrderLog::new("vm-2");
    log.update(&mut vec![order("a", 3, 7, true)], Ms(0));
    let mut read = vec![order("a", 3, 7, false)];
    log.update(&mut read, Ms(7999));
    assert!(read[0].is_accepted);
    assert_eq!(log.update(&mut read, Ms(8000)).len(), 1);
}

/// Guards against an unknown order that is forgotten because this daemon knows of one that has expired.
#[test]
fn an_expired_order_does_not_stand_for_one_that_a_restore_has_undone() {
    let mut log = OrderLog::new("vm-2");
    log.update(&mut vec![order("a", 3, 7, false)], Ms(0));
    let mut read = vec![PromotionOrder::unknown(1)];
    log.update(&mut read, Ms(60_000));
    assert_eq!(read, [PromotionOrder::unknown(1)]);
}

/// Guards against a lower token after a higher one: two tokens of one sender, or one that overtakes an
/// order of another sender.
#[test]
fn while_an_order_is_on_its_way_only_its_sender_orders_and_keeps_its_token() {
    let mut other = OrderLog::new("vm-2");
    let mut orders = vec![order("a", 3, 7, false)];
    other.update(&mut orders, Ms(0));
    assert!(other.awaits_other(Ms(19_999)), "sent by another VM");
    assert!(!other.awaits_other(Ms(20_000)), "it counts as lost");
    // As well if a former process has sent it.
    let mut sender = OrderLog::new("vm-1");
    sender.update(&mut orders, Ms(0));
    assert!(!sender.awaits_other(Ms(1)), "sent by this VM");
    assert_eq!(sender.next_token(&orders, 9, 7), 7, "on its way");
    assert_eq!(sender.next_call(&orders, 7), 1);
    assert_eq!(sender.next_token(&orders, 12, 9), 12, "another one ordered");
    assert_eq!(sender.next_token(&orders, 9, 0), 7, "undone by a restore");
    let sent = order("a", 3, 7, false);
    sender.on_answer(&mut orders, &sent, OrderAnswer::Unclear);
    assert_eq!(sender.next_token(&orders, 9, 7), 9, "it has arrived");
    other.update(&mut orders, Ms(1));
    assert!(!other.awaits_other(Ms(1)), "it has arrived");
}

/// Guards against an order that another daemon overtakes because its member is gone, so that it would have
/// no effect.
#[test]
fn an_order_without_effect_may_be_on_its_way() {
    let mut log = OrderLog::new("vm-2");
    let mut orders = vec![order("a", 3, 7, false)];
    orders[0].is_void = true;
    log.update(&mut orders, Ms(0));
    assert!(log.awaits_other(Ms(1)));
    assert!(!log.has_order_for_other("b", Ms(1)), "it has no effect");
}

/// Guards against the answer to one order that is taken for that to another one under the same token.
#[test]
fn an_answer_settles_one_order_of_a_token() {
    let again = |call| PromotionOrder {
        call,
        ..order("a", 3, 7, false)
    };
    let calls = |orders: &[PromotionOrder]| -> Vec<(u32, bool)> {
        orders.iter().map(|o| (o.call, o.is_answered)).collect()
    };
    let mut log = OrderLog::new("vm-1");
    log.on_sent(7);
    let mut orders = vec![again(0), again(1)];
    log.on_answer(&mut orders, &again(1), OrderAnswer::Accepted);
    assert_eq!(calls(&orders), [(0, false), (1, true)]);
    log.on_answer(&mut orders, &again(0), OrderAnswer::Missing);
    assert_eq!(calls(&orders), [(0, false), (1, true)]);
    log.on_answer(&mut orders, &again(0), OrderAnswer::Refused);
    assert_eq!(calls(&orders), [(1, true)]);
    // A record that does not show the refusal.
    let mut read = vec![again(0), again(1)];
    log.update(&mut read, Ms(0));
    assert_eq!(calls(&read), [(1, false)]);
    assert_eq!(log.next_call(&[], 7), 1);
    assert_eq!(log.next_call(&orders, 7), 2);
}

/// Guards against tokens that fall at the platform: the store comes back from a copy that has an order of
/// this VM which was settled since, and a process that has started meanwhile knows nothing of the higher
/// token under which the one before it has ordered.
#[test]
fn an_order_of_before_a_restore_is_not_repeated_by_a_restarted_vm() {
    const TOKEN_AFTER_RESTORE: u64 = (1 << 36) + 63;
    let mut orders = vec![order("b", 2, 31, false)];
    let mut log = OrderLog::new("vm-1");
    log.update(&mut orders, Ms(1000));
    let is_repeated = log.other_on_way(&orders).is_none()
        && log.next_token(&orders, TOKEN_AFTER_RESTORE, 31) < TOKEN_AFTER_RESTORE;
    assert!(!is_repeated);
}

/// Token of an order of the first era after a restore.
const RESTORED_TOKEN: u64 = (1 << 36) + 63;

/// Guards against an order that holds a group up after a restore although another member has led since, and
/// against one that is taken for settled although it may take effect.
#[test]
fn a_leader_of_a_later_term_settles_an_order_of_before_a_restore() {
    let check = |era, leader: (&str, u64), is_heard: bool, expect: &[bool]| {
        let mut log = OrderLog::new("vm-1");
        log.on_era(era);
        let mut orders = vec![order("b", 2, 31, false)];
        let leader = Leader {
            term: leader.1,
            id: leader.0.into(),
        };
        log.settle_former(&mut orders, &leader, |_| is_heard);
        let left: Vec<bool> = orders.iter().map(|o| o.is_void).collect();
        assert_eq!(left, expect, "era {era}, {leader:?}, heard: {is_heard}");
    };
    check(1, ("c", 3), true, &[]);
    // It may have been void, and still be on its way.
    check(1, ("c", 3), false, &[true]);
    // The leader may have been ordered before.
    check(1, ("c", 2), true, &[false]);
    // Which of several orders to one member has taken effect is not known.
    check(1, ("b", 3), true, &[false]);
    // The record is that of this era.
    check(0, ("c", 3), true, &[false]);
}

/// Guards against an order that a process repeats after a restore although it knows that it was settled.
#[test]
fn a_process_knows_which_orders_of_before_a_restore_are_settled() {
    let mut log = OrderLog::new("vm-1");
    log.on_sent(31);
    log.update(&mut vec![order("b", 2, 31, false)], Ms(0));
    log.update(&mut Vec::new(), Ms(1));
    log.on_era(1);
    let mut restored = vec![order("b", 2, 31, false), PromotionOrder::unknown(1 << 36)];
    log.update(&mut restored, Ms(2));
    assert_eq!(restored, [PromotionOrder::unknown(1 << 36)], "sent it");
    // Another process knows it by the later order only.
    let mut log = OrderLog::new("vm-2");
    log.update(&mut Vec::new(), Ms(0));
    log.on_ordered(50);
    let mut restored = vec![order("b", 2, 31, false)];
    log.update(&mut restored, Ms(1));
    assert_eq!(restored.len(), 1, "the record is that of this era");
    let mut log = OrderLog::new("vm-2");
    log.update(&mut Vec::new(), Ms(0));
    log.on_ordered(50);
    log.on_era(1);
    log.update(&mut restored, Ms(1));
    assert!(restored.is_empty(), "ordered under a higher token since");
}

/// Guards against a lower token after a higher one, and against a group that waits for a sender that runs on:
/// an order that is not settled outlives a restore.
#[test]
fn an_order_on_its_way_is_repeated_after_a_restore_by_its_process_alone() {
    let on_way = || vec![order("b", 2, 31, false)];
    let mut sender = OrderLog::new("vm-1");
    sender.on_sent(31);
    sender.update(&mut on_way(), Ms(0));
    sender.on_era(1);
    // A copy that does not have it.
    let mut orders = vec![PromotionOrder::unknown(1 << 36)];
    sender.update(&mut orders, Ms(1));
    assert_eq!(orders, on_way());
    assert!(sender.other_on_way(&orders).is_none());
    assert_eq!(sender.next_token(&orders, RESTORED_TOKEN, 0), 31);
    // A copy that has it, and a new process.
    let mut restarted = OrderLog::new("vm-1");
    restarted.on_era(1);
    let mut orders = vec![order("b", 2, 31, false), PromotionOrder::unknown(1 << 36)];
    restarted.update(&mut orders, Ms(1));
    assert_eq!(orders, on_way(), "it stands for the unknown one");
    assert!(restarted.other_on_way(&orders).is_some());
    assert!(restarted.awaits_other(Ms(20_000)));
    assert!(!restarted.awaits_other(Ms(20_001)));
}

/// Guards against an order that a daemon forgets because it reads a copy of the store that does not have it.
#[test]
fn a_record_of_a_former_era_does_not_undo_what_a_daemon_knows() {
    let mut log = OrderLog::new("vm-2");
    log.update(&mut vec![order("b", 2, 31, false)], Ms(0));
    log.on_era(1);
    let mut orders = vec![order("c", 3, 40, false)];
    log.add_known(&mut orders, Ms(1));
    log.update(&mut orders, Ms(1));
    let tokens: Vec<u64> = orders.iter().map(|o| o.token).collect();
    assert_eq!(tokens, [40, 31]);
}
