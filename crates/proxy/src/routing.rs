//! Selects the members on which a statement may run.

use base::Ms;
use schema::{Freshness, Pos, Route};

use crate::member_key::MemberKey;
use crate::{History, Member, Role};

/// Factor on the cost of the primary; spares it for statements that only it can run.
const PRIMARY_COST_FACTOR: f64 = 1.6;
/// Factor on the cost of a member in another data centre.
const REMOTE_COST_FACTOR: f64 = 2.0;

/// What a statement requires of the member that runs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Requirement {
    /// The primary, under a lease that covers this instant and has not ended.
    Primary(Ms),
    /// Any member whose log contains this position.
    Contains(Pos),
    /// A particular member, for a control command of the daemon itself.
    Member(MemberKey),
}

/// What a read requires, or `None` when no position sample is fresh enough.
pub fn read_requirement(
    route: &Route,
    arrival: Ms,
    last_write: Pos,
    history: &History,
) -> Option<Requirement> {
    let floor = || history.floor(Ms(arrival.0.saturating_sub(route.max_age)));
    match route.freshness {
        Freshness::Newest => Some(Requirement::Primary(arrival)),
        Freshness::OwnWrites => Some(Requirement::Contains(floor()?.max(last_write))),
        Freshness::Aged => Some(Requirement::Contains(floor()?)),
    }
}

/// Weighted expected time of a read at a member; the cheapest member is chosen.
pub fn cost(member: &Member, local_data_center: &str, now: Ms) -> f64 {
    let running = f64::from(u32::try_from(member.in_flight.get()).unwrap_or(u32::MAX));
    let slots = f64::from(u32::try_from(member.record.borrow().slots.max(1)).unwrap_or(1));
    let mut cost = member.mean_latency(now) * (1.0 + running / slots);
    if member
        .last_probe
        .get()
        .is_some_and(|p| p.role == Role::Primary)
    {
        cost *= PRIMARY_COST_FACTOR;
    }
    if &*member.record.borrow().data_center != local_data_center {
        cost *= REMOTE_COST_FACTOR;
    }
    cost
}
