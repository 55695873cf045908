//! Calls by which changes of primary are claimed, recorded and ordered.

use std::future::Future;
use std::pin::Pin;

use base::Ms;
use schema::Pos;

use crate::{FencingToken, MemberRecord, OrderAnswer, PromotionOrder, ReplicaRecordApi};

/// Boxed future of the answer to an asynchronous call.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Asynchronous call to something outside this crate.
pub type AsyncCall<Q, A> = Box<dyn Fn(Q) -> BoxFuture<A>>;

/// Order to promote a member.
pub struct Promotion {
    pub group: Box<str>,
    pub member: Box<str>,
    /// Fencing token under which the promotion is ordered.
    pub token: FencingToken,
    /// Instant from which on the order is not sent any more.
    pub until: Ms,
}

/// A new connection to the platform, which carries one order. Dropping it, or the order, resets it, so that
/// an order that waits for a path is not sent any more.
pub struct OrderConn {
    /// When it was found open.
    pub opened_at: Ms,
    /// Sends the order; waits for the answer as long as the connection lasts.
    pub send: Box<dyn FnOnce(Promotion) -> BoxFuture<OrderAnswer>>,
}

/// What the holders of a group's claim leave for each other when a change fails.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeRecord {
    /// Identifiers of members that have left and may have taken acknowledged commits along.
    pub departed: Vec<Box<str>>,
    /// The last primary, if it was seen demoted.
    pub last_primary: Option<LastPrimary>,
    /// The newest known leaders, by ascending term; a promotion is added before it is ordered.
    pub leaders: Vec<Leader>,
    /// What the members among `leaders` had received when they were last ordered to lead.
    pub ordered_ends: Vec<OrderedEnd>,
    /// The orders that may still take effect, each added before it is sent. Those that may still be on
    /// their way to the platform are of one sender and token.
    pub orders: Vec<PromotionOrder>,
    /// Highest token of an order of the group so far; 0 if there was none.
    pub ordered: FencingToken,
    /// Identifiers of departed members whose commits an operator has given up.
    pub accepted_losses: Vec<Box<str>>,
    /// Era of the store of which it is. A record of an earlier era than the current one is from a copy of the
    /// store, and may lack what was written since the copy was made.
    pub era: u64,
}

/// The member that leads a term, or was ordered to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leader {
    pub term: u64,
    pub id: Box<str>,
}

/// What a member had received when it was ordered to lead. One that has less now has lost its log, and may
/// have led although it is a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderedEnd {
    pub member: Box<str>,
    pub end: Pos,
}

/// Number of leaders that a record keeps: those of a promotion that was ordered and may not have
/// taken place, of the newest term, and of the one before.
const MAX_LEADERS: usize = 3;

impl ChangeRecord {
    /// Records who leads a term; replaces an order for the same term that did not take place.
    pub fn add_leader(&mut self, leader: Leader) {
        self.leaders.retain(|l| l.term != leader.term);
        self.leaders.push(leader);
        self.leaders.sort_by_key(|l| l.term);
        let surplus = self.leaders.len().saturating_sub(MAX_LEADERS);
        self.leaders.drain(..surplus);
        let leaders = &self.leaders;
        self.ordered_ends
            .retain(|e| leaders.iter().any(|l| l.id == e.member));
    }

    /// Records that a member is ordered to lead a term, with what it has received.
    pub fn add_ordered(&mut self, leader: Leader, end: Pos) {
        let member = leader.id.clone();
        self.add_leader(leader);
        self.ordered_ends.retain(|e| e.member != member);
        self.ordered_ends.push(OrderedEnd { member, end });
    }

    /// Whether a restore of the store may have undone the record of an order.
    pub(crate) fn has_unknown_order(&self) -> bool {
        self.orders.iter().any(PromotionOrder::is_unknown)
    }

    /// Whether a member lacks what it had received when it was ordered to lead.
    pub fn has_lost_log(&self, id: &str, end: Pos) -> bool {
        let mut ends = self.ordered_ends.iter();
        ends.any(|e| *e.member == *id && end < e.end)
    }

    /// Whether a member that `has_not_led` does not vouch for was ordered to lead a later term.
    pub fn is_followed(&self, term: u64, has_not_led: impl Fn(&str) -> bool) -> bool {
        let mut later = self.leaders.iter().filter(|l| l.term > term);
        !later.all(|l| has_not_led(&l.id))
    }

    /// The leader of a term. `None` if it is unknown, or if the term `is_followed`.
    pub fn leader_of(&self, term: u64, has_not_led: impl Fn(&str) -> bool) -> Option<&Leader> {
        if self.is_followed(term, has_not_led) {
            return None;
        }
        self.leaders.iter().find(|l| l.term == term)
    }
}

/// A demoted primary, whose log contains every commit that was confirmed to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LastPrimary {
    pub id: Box<str>,
    /// End of its log when it was seen demoted.
    pub pos: Pos,
}

/// The right to change the primary of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    pub token: FencingToken,
    /// As the former holder of the claim has left it.
    pub record: ChangeRecord,
}

/// The end of a claim.
pub struct Release {
    pub group: Box<str>,
    /// What the next holder finds in `Claim::record`.
    pub record: ChangeRecord,
}

/// What the holder of a claim writes down while it keeps the claim.
pub struct RecordUpdate {
    pub group: Box<str>,
    /// What a later holder finds in `Claim::record` if this one fails.
    pub record: ChangeRecord,
}

/// Calls by which a primary change is claimed and ordered.
pub struct FailoverApi {
    /// Claims the right to change the primary of a group; `None` when another daemon holds it, or
    /// the claim failed.
    pub claim: AsyncCall<Box<str>, Option<Claim>>,
    /// Releases the claim on a group after a primary change.
    pub release: AsyncCall<Release, ()>,
    /// Reads the record of a group without a claim; `None` when the call fails.
    pub read_record: AsyncCall<Box<str>, Option<ChangeRecord>>,
    /// Saves a record under a claim; false if it may not have been saved.
    pub save_record: AsyncCall<RecordUpdate, bool>,
    /// Opens a connection for an order; `None` if the platform cannot be reached.
    pub connect: AsyncCall<(), Option<OrderConn>>,
    /// Reads the members of a group that the platform lists at the time of the call; `None` when
    /// they cannot be read.
    pub list_members: AsyncCall<Box<str>, Option<Vec<MemberRecord>>>,
    /// Calls on the records of the groups' replicas.
    pub replicas: ReplicaRecordApi,
}
