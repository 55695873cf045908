//! Throughput of the classes of statements that wait for a group's connections.

use std::cell::Cell;

use base::Ms;

use crate::{Load, Throughput};

/// Statements that compete for the same members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Class {
    /// Only the primary can serve them.
    Primary,
    /// Replicas can serve them as well.
    Any,
    /// Control commands of the daemon itself, which go first.
    Control,
}

/// Throughput of the statements of a group, by class.
#[derive(Default)]
pub(super) struct QueueStats {
    primary: Cell<Throughput>,
    any: Cell<Throughput>,
}

impl QueueStats {
    pub(super) fn update(&self, class: Class, update: impl Fn(&mut Throughput)) {
        let cell = match class {
            Class::Primary => &self.primary,
            Class::Any => &self.any,
            Class::Control => return,
        };
        let mut throughput = cell.get();
        update(&mut throughput);
        cell.set(throughput);
    }

    /// The load of a class; `None` for control commands.
    pub(super) fn load(&self, class: Class, now: Ms) -> Option<Load> {
        match class {
            Class::Primary => Some(self.primary.get().load(now)),
            Class::Any => Some(self.any.get().load(now)),
            Class::Control => None,
        }
    }
}
