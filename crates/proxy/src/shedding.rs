//! Decides which part of each route's statements is admitted when more arrives than the members can
//! run.
//!
//! It matters when a primary serves alone for many seconds, because its replicas lag or are gone.
//! What is admitted beyond the capacity only delays the rest: all of it is answered late. Of equally
//! urgent routes, those that take less of a slot go first, since that serves more callers; no route
//! is cut below half of what an equal treatment of all would leave it.

/// Least part that is admitted, as a part of what an equal treatment would admit.
const MIN_PART_OF_EQUAL: f64 = 0.5;

/// What one route asks of the members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// 0 is the most urgent.
    pub priority: u64,
    /// Time that a statement occupies a slot, in ms.
    pub service_ms: f64,
    /// Statements that arrive per ms.
    pub rate: f64,
}

impl Demand {
    /// Slots that it would occupy.
    fn slots(&self) -> f64 {
        self.rate * self.service_ms
    }
}

/// The part of each demand that is admitted, from 0 to 1, if `slots` slots can be occupied.
pub fn admitted_parts(demands: &[Demand], slots: f64) -> Vec<f64> {
    let wanted: f64 = demands.iter().map(Demand::slots).sum();
    if wanted <= slots {
        return vec![1.0; demands.len()];
    }
    let least = MIN_PART_OF_EQUAL * slots / wanted;
    let mut parts = vec![least; demands.len()];
    let mut left = slots - least * wanted;
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (&demands[a], &demands[b]);
        let by_priority = a.priority.cmp(&b.priority);
        by_priority.then(a.service_ms.total_cmp(&b.service_ms))
    });
    for i in order {
        let missing = demands[i].slots() * (1.0 - least);
        let granted = missing.min(left);
        if missing > 0.0 {
            parts[i] = least + (1.0 - least) * granted / missing;
        }
        left -= granted;
    }
    parts
}
