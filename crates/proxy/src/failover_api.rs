//! Calls by which changes of primary are claimed, recorded and ordered.

use std::future::Future;
use std::pin::Pin;

use schema::Pos;

use crate::MemberRecord;

/// Number that grows with every claim to change the primary of a group.
pub type FencingToken = u64;
/// Boxed future of the answer to an asynchronous call.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Asynchronous call to something outside this crate.
pub type AsyncCall<Q, A> = Box<dyn Fn(Q) -> BoxFuture<A>>;

/// Order to promote a member.
pub struct Promotion {
    pub group: Box<str>,
    pub member: Box<str>,
    /// Fencing token of the claim under which the promotion is ordered.
    pub token: FencingToken,
}

/// What the holders of a group's claim leave for each other when a change fails.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChangeRecord {
    /// Identifiers of members that have left and may have taken acknowledged commits along.
    pub departed: Vec<Box<str>>,
    /// The last primary, if it was seen demoted.
    pub last_primary: Option<LastPrimary>,
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

/// Calls by which a primary change is claimed and ordered.
pub struct FailoverApi {
    /// Claims the right to change the primary of a group; `None` when another daemon holds it, or
    /// the claim failed.
    pub claim: AsyncCall<Box<str>, Option<Claim>>,
    /// Releases the claim on a group after a primary change.
    pub release: AsyncCall<Release, ()>,
    /// Orders a promotion; false if it was certainly not accepted.
    pub promote: AsyncCall<Promotion, bool>,
    /// Reads the members of a group that the platform lists at the time of the call; `None` when
    /// they cannot be read.
    pub list_members: AsyncCall<Box<str>, Option<Vec<MemberRecord>>>,
}
