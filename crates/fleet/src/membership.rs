//! The VMs of the platform's lagging list, and who works for what by it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::{Ms, Signal};
use schema::{Member, Prefix, Role, Settings, Vm, VmState};

use crate::rendezvous::ranked;

/// Name under which the list travels through the fleet.
pub const VM_LIST_ITEM: &str = "@vms";

/// How long a daemon that could not be reached is asked last, in ms.
const AVOID_MS: u64 = 1000;
/// How long a daemon that is stopping is asked last, in ms.
const STOPPING_MS: u64 = 5000;

/// The list as this daemon knows it. A hint: it may be wrong at any time.
pub struct Membership {
    /// Name of this daemon.
    pub me: Box<str>,
    /// Its data centre.
    pub data_center: Box<str>,
    prefixes: Vec<Prefix>,
    vms: RefCell<Rc<BTreeMap<Box<str>, Vm>>>,
    /// Daemons that could not be reached lately.
    avoid: RefCell<BTreeMap<Box<str>, Ms>>,
    /// Set while this daemon stops.
    pub stopping: Cell<bool>,
    /// Notified when the list changes.
    pub changed: Signal,
}

impl Membership {
    /// Begins with this daemon and its seeds.
    pub fn new(settings: &Settings) -> Membership {
        let vm = |name: &str, center: &str, addr: &str| Vm {
            name: name.into(),
            data_center: center.into(),
            role: Role::Entry,
            addr: addr.into(),
            state: VmState::Live,
        };
        let me = vm(&settings.name, &settings.data_center, &settings.internal);
        let seeds = settings
            .seeds
            .iter()
            .map(|s| vm(&s.name, &s.data_center, &s.addr));
        let vms = seeds.chain([me]).map(|v| (v.name.clone(), v)).collect();
        Membership {
            me: settings.name.clone(),
            data_center: settings.data_center.clone(),
            prefixes: settings.address_map.clone(),
            vms: RefCell::new(Rc::new(vms)),
            avoid: RefCell::default(),
            stopping: Cell::new(false),
            changed: Signal::default(),
        }
    }

    /// Replaces the list.
    pub fn set(&self, vms: BTreeMap<Box<str>, Vm>) {
        if *self.vms.borrow().as_ref() != vms {
            *self.vms.borrow_mut() = Rc::new(vms);
            self.changed.notify();
        }
    }

    /// The list.
    pub fn all(&self) -> Rc<BTreeMap<Box<str>, Vm>> {
        self.vms.borrow().clone()
    }

    /// Whether the list says that a VM is leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.vms
            .borrow()
            .get(name)
            .is_some_and(|v| v.state == VmState::Leaving)
    }

    /// An address as it is reached from here.
    pub fn address(&self, addr: &str) -> Option<SocketAddr> {
        for prefix in &self.prefixes {
            if let Some(rest) = addr.strip_prefix(&*prefix.from) {
                return format!("{}{rest}", prefix.to).parse().ok();
            }
        }
        addr.parse().ok()
    }

    /// Address of a daemon as it is reached from here.
    pub fn daemon(&self, name: &str) -> Option<SocketAddr> {
        let vms = self.all();
        self.address(&vms.get(name).filter(|v| v.role == Role::Entry)?.addr)
    }

    /// Names of the live daemons, of one data centre if one is given.
    pub fn daemons(&self, center: Option<&str>) -> Vec<Box<str>> {
        let vms = self.all();
        let wanted = |v: &&Vm| v.role == Role::Entry && v.state == VmState::Live;
        let here = |v: &&Vm| center.is_none_or(|c| *v.data_center == *c);
        vms.values()
            .filter(wanted)
            .filter(here)
            .map(|v| v.name.clone())
            .collect()
    }

    /// Daemons in the order in which they hold connections to a member.
    pub fn ranking(&self, member: &Member) -> Vec<Box<str>> {
        let mut names = self.daemons(Some(&member.data_center));
        if names.is_empty() {
            names = self.daemons(None);
        }
        ranked(&member.name, names.iter().map(|n| &**n))
            .into_iter()
            .map(Into::into)
            .collect()
    }

    /// Whether this daemon is among the first `owners` for a member.
    pub fn is_owner(&self, member: &Member, owners: u64) -> bool {
        let ranking = self.ranking(member);
        let owners = usize::try_from(owners).unwrap_or(usize::MAX);
        !self.stopping.get() && ranking.iter().take(owners).any(|n| *n == self.me)
    }

    /// Whether this daemon watches the platform for its data centre.
    pub fn is_platform_watcher(&self, count: usize) -> bool {
        let names = self.daemons(Some(&self.data_center));
        let ranking = ranked("relay", names.iter().map(|n| &**n));
        ranking.is_empty() || ranking.iter().take(count).any(|n| **n == *self.me)
    }

    /// Notes that a daemon could not be reached.
    pub fn avoid(&self, name: &str) {
        self.avoid
            .borrow_mut()
            .insert(name.into(), Ms::now().plus(AVOID_MS));
    }

    /// Notes that a daemon is stopping, so that nothing is sent to it while it ends.
    pub fn avoid_stopping(&self, name: &str) {
        self.avoid
            .borrow_mut()
            .insert(name.into(), Ms::now().plus(STOPPING_MS));
    }

    /// Whether a daemon could not be reached lately.
    pub fn is_avoided(&self, name: &str) -> bool {
        self.avoid
            .borrow()
            .get(name)
            .is_some_and(|until| until.left() > 0)
    }
}
