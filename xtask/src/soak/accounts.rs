//! Client accounts of a soak test: their keys and rates over time, and checks of what the members
//! ran against them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use base::Ms;
use world::{ClientAccount, Member, StatementRun, World};

use super::ledger::Ledger;

/// Time after the store's acknowledgement within which every daemon uses a configuration
/// (`config_apply_ms`).
const CONFIG_APPLY_MS: u64 = 5000;
/// Additional time where the store was away for some daemon meanwhile.
const OUTAGE_ALLOWANCE_MS: u64 = 15_000;
/// Length of the window in which a rate is judged (`quota_window_s`).
const WINDOW_MS: u64 = 5000;
/// Number by which a window may exceed the bound (`quota_slack`); the factor, `quota_overage`, is in
/// `Limit::window_bound`.
const SLACK: u64 = 20;
/// Names, rates and bursts. The first is never over its rate, so that it shows what a hot account
/// costs the others; the callers of the last two ask for several times their rates.
const ACCOUNTS: [(&str, u64, u64); 4] = [
    ("ample", 1000, 1000),
    ("steady", 100, 100),
    ("hot", 25, 20),
    ("tiny", 5, 10),
];
/// Divisor of a lowered rate.
const LOWERED_BY: u64 = 4;
/// Keys of each account at the start.
const KEYS_PER_ACCOUNT: usize = 2;
/// Key that no configuration contains.
const UNKNOWN_KEY: &str = "key-unknown";

/// Whom a caller is.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Caller {
    /// Gives keys of `ACCOUNTS[.0]`.
    Account(usize),
    /// Gives a key that no configuration contains.
    Unknown,
    /// Gives no key and uses the public routes only.
    Public,
}

/// A key and the time in which it is valid.
struct Key {
    text: Box<str>,
    account: usize,
    added_at: Ms,
    withdrawn_at: Option<Ms>,
}

struct SentStatement {
    /// Key of its session; `None` for a public route.
    key: Option<Box<str>>,
    /// When its operation began.
    operation_at: Ms,
}

/// A rate and a burst in force since `since`.
struct Limit {
    since: Ms,
    rate: u64,
    burst: u64,
}

impl Limit {
    /// Operations that a window may contain.
    fn window_bound(&self) -> u64 {
        (self.rate * WINDOW_MS / 1000 + self.burst) * 11 / 10 + SLACK
    }
}

/// Accounts of a run.
pub struct Accounts {
    keys: RefCell<Vec<Key>>,
    /// Limits by account, oldest first.
    limits: RefCell<[Vec<Limit>; ACCOUNTS.len()]>,
    /// Statements that callers sent, by identifier.
    sent: RefCell<HashMap<Box<str>, SentStatement>>,
    /// Instants of the operations that members ran, by account.
    operations: RefCell<[Vec<Ms>; ACCOUNTS.len()]>,
    /// Accounts whose rate was found exceeded, each reported once.
    over_rate: RefCell<HashSet<usize>>,
    /// Operations refused because the account was over its rate or had no valid key.
    pub refused: Cell<u64>,
    ledger: Rc<Ledger>,
}

impl Caller {
    /// The caller with a number: one gives an unknown key, one uses public routes, the others share
    /// the accounts.
    pub fn of_number(number: usize) -> Caller {
        match number {
            0 => Caller::Unknown,
            1 => Caller::Public,
            _ => Caller::Account(number % ACCOUNTS.len()),
        }
    }
}

impl Accounts {
    /// Puts the accounts into the configuration.
    pub fn start(world: &World, ledger: &Rc<Ledger>) -> Rc<Accounts> {
        let key_text = |account: &str, n: usize| format!("key-{account}-{n}").into();
        let accounts = ACCOUNTS.iter().map(|(name, rate, burst)| ClientAccount {
            name: (*name).into(),
            keys: (0..KEYS_PER_ACCOUNT).map(|n| key_text(name, n)).collect(),
            rate_per_s: *rate,
            burst: *burst,
            priority: 1,
        });
        let accounts: Vec<ClientAccount> = accounts.collect();
        let added_at = world.set_accounts(Some(accounts.clone()));
        let keys = accounts.iter().enumerate().flat_map(|(account, a)| {
            a.keys.iter().map(move |text| Key {
                text: text.clone(),
                account,
                added_at,
                withdrawn_at: None,
            })
        });
        Rc::new(Accounts {
            keys: RefCell::new(keys.collect()),
            limits: RefCell::new(ACCOUNTS.map(|(_, rate, burst)| {
                vec![Limit {
                    since: added_at,
                    rate,
                    burst,
                }]
            })),
            sent: RefCell::default(),
            operations: RefCell::default(),
            over_rate: RefCell::default(),
            refused: Cell::new(0),
            ledger: ledger.clone(),
        })
    }

    /// Key with which a caller opens its next session: one time in eight any key that its account
    /// had, otherwise a valid one.
    pub fn choose_key(&self, caller: Caller, rng: &mut fastrand::Rng) -> Option<Box<str>> {
        let Caller::Account(account) = caller else {
            return (caller == Caller::Unknown).then(|| UNKNOWN_KEY.into());
        };
        let keys = self.keys.borrow();
        let any = rng.u8(..8) == 0;
        let usable = keys
            .iter()
            .filter(|k| k.account == account && (any || k.withdrawn_at.is_none()));
        let usable: Vec<&Key> = usable.collect();
        rng.choice(usable).map(|k| k.text.clone())
    }

    /// Withdraws or adds a key, or lowers or raises a rate.
    pub fn change(&self, world: &World, rng: &mut fastrand::Rng) {
        let account = rng.usize(..ACCOUNTS.len());
        match rng.u8(..4) {
            0 => self.withdraw_key(world, account, rng),
            1 => self.add_key(world, account),
            2 => self.set_rate(world, account, LOWERED_BY),
            _ => self.set_rate(world, account, 1),
        }
    }

    fn add_key(&self, world: &World, account: usize) {
        let (name, mut keys) = (ACCOUNTS[account].0, self.keys.borrow_mut());
        let text: Box<str> = format!("key-{name}-{}", keys.len()).into();
        keys.push(Key {
            added_at: world.add_key(name, &text),
            text,
            account,
            withdrawn_at: None,
        });
    }

    /// Withdraws one of an account's keys, after adding another if it is the last.
    fn withdraw_key(&self, world: &World, account: usize, rng: &mut fastrand::Rng) {
        let is_valid = |k: &&mut Key| k.account == account && k.withdrawn_at.is_none();
        if self.keys.borrow_mut().iter_mut().filter(is_valid).count() < 2 {
            self.add_key(world, account);
        }
        let mut keys = self.keys.borrow_mut();
        let valid: Vec<&mut Key> = keys.iter_mut().filter(is_valid).collect();
        if let Some(key) = rng.choice(valid) {
            key.withdrawn_at = Some(world.withdraw_key(ACCOUNTS[account].0, &key.text));
        }
    }

    /// Sets the rate of an account to the one at the start, divided by a number.
    fn set_rate(&self, world: &World, account: usize, divisor: u64) {
        let (name, rate, burst) = ACCOUNTS[account];
        let (rate, burst) = (rate / divisor, burst / divisor);
        let since = world.set_rate(name, rate, burst);
        self.limits.borrow_mut()[account].push(Limit { since, rate, burst });
    }

    /// Records a statement that a caller is about to send, and when its operation began.
    pub fn record_sent(&self, id: &str, key: Option<&str>, operation_at: Ms) {
        let statement = SentStatement {
            key: key.map(Box::from),
            operation_at,
        };
        self.sent.borrow_mut().insert(id.into(), statement);
    }

    /// Checks the answer to a session request: `None` for no answer, an error code, or `READY`.
    pub fn check_handshake(
        &self,
        key: Option<&str>,
        sent_at: Ms,
        answer: Option<&str>,
        world: &World,
    ) {
        let Some(answer) = answer else { return };
        if key == Some(UNKNOWN_KEY) && answer != "DENIED" {
            let text = format!("KEY: an unknown key got {answer}");
            self.ledger.record_violation(text);
        }
        if answer == "DENIED" && self.was_usable(key, sent_at, world) {
            let text = format!("KEY: {key:?} is valid and was denied");
            self.ledger.record_violation(text);
        }
    }

    /// Whether every daemon must have accepted a key at an instant, and it has not been withdrawn
    /// since.
    fn was_usable(&self, key: Option<&str>, at: Ms, world: &World) -> bool {
        let keys = self.keys.borrow();
        let Some(key) = keys.iter().find(|k| Some(&*k.text) == key) else {
            return key.is_none();
        };
        key.withdrawn_at.is_none() && apply_deadline(key.added_at, world) < at
    }

    /// Takes the records of the members and checks them.
    pub fn check(&self, world: &World) {
        for group in &world.groups {
            for member in &group.members {
                self.check_conns(member, group.max_conns.get());
                for run in member.runs.take() {
                    self.check_run(&run, world);
                }
            }
        }
        for (account, operations) in self.operations.borrow_mut().iter_mut().enumerate() {
            operations.sort_unstable();
            if self.check_windows(account, operations, world) {
                self.over_rate.borrow_mut().insert(account);
            }
        }
    }

    fn check_conns(&self, member: &Member, limit: u64) {
        let peak = member.peak_conns.get();
        if peak > limit {
            let text = format!("CONNS: {} had {peak} of {limit}", member.id.borrow());
            self.ledger.record_violation(text);
        }
    }

    /// Checks the name under which a statement ran and whether its key was valid, and counts its
    /// operation. Statements that no caller sent are ignored.
    fn check_run(&self, run: &StatementRun, world: &World) {
        let sent = self.sent.borrow();
        let Some(SentStatement { key, operation_at }) = sent.get(&run.id) else {
            return;
        };
        let (id, name) = (&run.id, &run.conn_name);
        let named = ACCOUNTS.iter().position(|a| a.0 == &**name);
        let keys = self.keys.borrow();
        let key = keys.iter().find(|k| Some(&k.text) == key.as_ref());
        let owner = key.map(|k| k.account);
        if named != owner {
            let owner = owner.map_or("no account", |a| ACCOUNTS[a].0);
            let text = format!("NAME: {id} of {owner} ran under the name {name}");
            self.ledger.record_violation(text);
        }
        if let Some(withdrawn_at) = key.and_then(|k| k.withdrawn_at)
            && apply_deadline(withdrawn_at, world) < *operation_at
        {
            let late = operation_at.0 - withdrawn_at.0;
            let text =
                format!("REVOKED: {id} was sent {late} ms after its key was withdrawn and ran");
            self.ledger.record_violation(text);
        }
        if let Some(account) = owner
            && run.begins_operation
        {
            self.operations.borrow_mut()[account].push(run.received_at);
        }
    }

    /// Checks every window that ends with an operation; returns whether one holds too many.
    fn check_windows(&self, account: usize, operations: &[Ms], world: &World) -> bool {
        if self.over_rate.borrow().contains(&account) {
            return false;
        }
        let mut first = 0;
        for (last, at) in operations.iter().enumerate() {
            while operations[first].plus(WINDOW_MS) <= *at {
                first += 1;
            }
            let count = (last + 1 - first) as u64;
            let bound = self.window_bound(account, operations[first], *at, world);
            if count > bound {
                let name = ACCOUNTS[account].0;
                let text =
                    format!("RATE: {name} ran {count} operations in a window, {bound} are allowed");
                self.ledger.record_violation(text);
                return true;
            }
        }
        false
    }

    /// Operations that a window may contain: as the highest limit allows that a daemon may have used
    /// in it. A limit may be used until all daemons have the next.
    fn window_bound(&self, account: usize, from: Ms, to: Ms, world: &World) -> u64 {
        let limits = &self.limits.borrow()[account];
        let ends = limits[1..].iter().map(|l| apply_deadline(l.since, world));
        let usable = limits
            .iter()
            .zip(ends.chain([Ms(u64::MAX)]))
            .filter(|(limit, end)| limit.since <= to && from <= *end);
        let bounds = usable.map(|(limit, _)| limit.window_bound());
        bounds.max().unwrap_or(0)
    }

    /// Summary of what members saw.
    pub fn summary(&self, world: &World) -> String {
        let members = || world.groups.iter().flat_map(|g| &g.members);
        let peak = members().map(|m| m.peak_conns.get()).max();
        let refused: u64 = members().map(|m| m.refused_conns.get()).sum();
        let operations = self.operations.borrow();
        let counts: Vec<String> = (ACCOUNTS.iter().zip(operations.iter()))
            .map(|(account, list)| format!("{} {}", account.0, list.len()))
            .collect();
        format!(
            "operations {}, refused or denied {}, connections {} at most, {refused} refused",
            counts.join(" "),
            self.refused.get(),
            peak.unwrap_or(0)
        )
    }
}

/// Instant by which every daemon uses a configuration.
fn apply_deadline(acknowledged_at: Ms, world: &World) -> Ms {
    let regular = acknowledged_at.plus(CONFIG_APPLY_MS);
    if world.store.was_absent(acknowledged_at, regular) {
        return regular.plus(OUTAGE_ALLOWANCE_MS);
    }
    regular
}
