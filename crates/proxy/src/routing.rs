//! Where a statement may run.

use base::Ms;
use schema::{Freshness, Pos, Route};

use crate::member::MemberKey;
use crate::{History, Member, Role};

/// How much dearer the primary counts for a read that a replica can serve.
const PRIMARY_WEIGHT: f64 = 1.6;
/// How much dearer a member of another data centre counts.
const FAR_WEIGHT: f64 = 1.15;

/// What the member must be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Requirement {
    /// The primary, under a lease that covers this instant.
    Primary(Ms),
    /// Any member whose log contains this position.
    Contains(Pos),
    /// This member, for a question of the daemon's own.
    Member(MemberKey),
}

/// What a read needs, or `None` when no known position is fresh enough.
pub fn read_requirement(
    route: &Route,
    arrival: Ms,
    own: Pos,
    history: &History,
) -> Option<Requirement> {
    let floor = || history.floor(Ms(arrival.0.saturating_sub(route.max_age)));
    match route.freshness {
        Freshness::Newest => Some(Requirement::Primary(arrival)),
        Freshness::OwnWrites => Some(Requirement::Contains(floor()?.max(own))),
        Freshness::Aged => Some(Requirement::Contains(floor()?)),
    }
}

/// Whether a member that said it lacks a position may hold this one by now.
pub fn may_contain(member: &Member, pos: Pos, now: Ms) -> bool {
    member.pos.get() >= pos || member.lag.get().may_retry(now)
}

/// Whether a member can be counted on for a position, in a forecast of the wait.
pub fn is_expected_to_contain(member: &Member, pos: Pos, now: Ms) -> bool {
    member.pos.get() >= pos || !member.lag.get().is_lagging(now)
}

/// Expected time of a read at a member, weighted; the smallest is asked.
pub fn cost(member: &Member, home: &str, now: Ms) -> f64 {
    let running = f64::from(u32::try_from(member.in_flight.get()).unwrap_or(u32::MAX));
    let slots = f64::from(u32::try_from(member.record.borrow().slots.max(1)).unwrap_or(1));
    let mut cost = member.mean_latency(now) * (1.0 + running / slots);
    if member
        .last_probe
        .get()
        .is_some_and(|w| w.role == Role::Primary)
    {
        cost *= PRIMARY_WEIGHT;
    }
    if &*member.record.borrow().data_center != home {
        cost *= FAR_WEIGHT;
    }
    cost
}
