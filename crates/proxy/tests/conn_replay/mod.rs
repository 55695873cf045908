//! A member and the daemons that own its group, replayed ms by ms without sockets.

use base::Ms;
use proxy::{
    AccountKey, ConnBudget, ConnEntry, ConnKey, ConnState, ConnStep, Purpose, rank_owners,
};

/// Slot time of an opening, in ms.
const OPENING_MS: u64 = 12;
/// Time for which a daemon opens nothing after a refusal, in ms.
const RETRY_MS: u64 = 150;
/// Interval at which members report their number of connections, in ms.
const REPORT_INTERVAL_MS: u64 = 200;
/// Interval at which waiting statements and surplus connections are looked at again, in ms.
const CHECK_INTERVAL_MS: u64 = 100;
/// Deadline of all statements, in ms.
pub const DEADLINE_MS: u64 = 800;

/// A statement or a transaction of an account.
#[derive(Clone, Copy, Debug)]
pub struct Op {
    pub account: usize,
    pub arrival: u64,
    /// Slot time, in ms.
    pub service_ms: u64,
    /// Time for which it holds its connection beyond that, as an open transaction does, in ms.
    pub pinned_ms: u64,
}

/// How an operation ended.
#[derive(Clone, Copy, Debug)]
pub struct End {
    pub op: Op,
    pub at: u64,
    pub served: bool,
}

/// What a slot of the member is given to.
#[derive(Clone, Copy)]
struct Job {
    daemon: usize,
    key: ConnKey,
    op: Option<Op>,
    left_ms: u64,
}

#[derive(Default)]
struct Daemon {
    conns: Vec<ConnEntry>,
    waiting: Vec<Op>,
    retry_at: u64,
    /// Connections that the member reported last, and those of this daemon at that time.
    reported: (u64, usize),
}

/// The member, its daemons, and what was seen.
pub struct Replay {
    pub limit: u64,
    pub slots: u64,
    /// Connections of somebody else.
    pub foreign: u64,
    pub now: u64,
    daemons: Vec<Daemon>,
    /// Daemon of each account.
    homes: Vec<usize>,
    queue: Vec<Job>,
    running: Vec<Job>,
    /// Transactions that keep their connection until an instant.
    pinned: Vec<(u64, usize, ConnKey)>,
    next_key: u64,
    pub ends: Vec<End>,
    pub openings: u64,
    pub refused_openings: Vec<u64>,
    /// Most openings of one daemon at once.
    pub peak_opening: usize,
}

impl Replay {
    pub fn new(limit: u64, slots: u64, owners: usize, accounts: usize) -> Replay {
        let names: Vec<String> = (0..owners).map(|n| format!("vm-{n}")).collect();
        let names: Vec<(&str, f64)> = names.iter().map(|n| (n.as_str(), 1.0)).collect();
        let home = |account| rank_owners("g", &format!("account-{account}"), &names)[0];
        Replay {
            limit,
            slots,
            foreign: 0,
            now: 0,
            daemons: (0..owners).map(|_| Daemon::default()).collect(),
            homes: (0..accounts).map(home).collect(),
            queue: Vec::new(),
            running: Vec::new(),
            pinned: Vec::new(),
            next_key: 0,
            ends: Vec::new(),
            openings: 0,
            refused_openings: Vec::new(),
            peak_opening: 0,
        }
    }

    /// Connections of the member, one control connection of each daemon included.
    fn used(&self) -> u64 {
        let own: usize = self.daemons.iter().map(|d| d.conns.len() + 1).sum();
        own as u64 + self.foreign
    }

    fn budget(&self, daemon: usize) -> ConnBudget {
        let daemon = &self.daemons[daemon];
        let (reported, own_then) = daemon.reported;
        ConnBudget {
            limit: self.limit,
            used: (reported + daemon.conns.len() as u64).saturating_sub(own_then as u64),
            growth: (daemon.conns.len() as u64).saturating_sub(own_then as u64),
            owners: self.daemons.len() as u64,
            stands_in: false,
            slots: self.slots,
            max_opening: self.slots,
            retry_at: Ms(daemon.retry_at),
        }
    }

    /// The daemon that serves an account.
    pub fn home(&self, account: usize) -> usize {
        self.homes[account]
    }

    /// Connections of an account.
    pub fn count(&self, account: usize) -> usize {
        let conns = &self.daemons[self.homes[account]].conns;
        conns.iter().filter(|c| c.is_of(Some(key(account)))).count()
    }

    /// Connections of all daemons for statements.
    pub fn total(&self) -> usize {
        self.daemons.iter().map(|d| d.conns.len()).sum()
    }

    /// Connections of each daemon, and its share.
    pub fn most_of_one_daemon(&self) -> (usize, u64) {
        let most = self.daemons.iter().map(|d| d.conns.len()).max();
        (most.unwrap_or(0), self.budget(0).share())
    }

    /// Lets operations arrive and 1 ms pass.
    pub fn step(&mut self, arrivals: &[Op]) {
        for &op in arrivals {
            self.daemons[self.homes[op.account]].waiting.push(op);
        }
        if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            let used = self.used();
            for daemon in &mut self.daemons {
                daemon.reported = (used, daemon.conns.len());
            }
        }
        for daemon in 0..self.daemons.len() {
            self.dispatch(daemon);
            if self.now.is_multiple_of(CHECK_INTERVAL_MS) {
                self.check(daemon);
            }
        }
        assert!(
            self.used() <= self.limit.max(self.foreign),
            "over the limit"
        );
        self.run_slots();
        self.now += 1;
        self.release_pinned();
    }

    fn dispatch(&mut self, daemon: usize) {
        let mut order = std::mem::take(&mut self.daemons[daemon].waiting);
        let budget = self.budget(daemon);
        let conns = &self.daemons[daemon].conns;
        order.sort_by_key(|op| {
            let is_over_limit = budget.is_over_account_limit(conns, Some(key(op.account)));
            (is_over_limit, op.arrival)
        });
        let mut left: Vec<Op> = Vec::new();
        for op in &order {
            if self.assign_idle(daemon, op) {
                continue;
            }
            left.push(*op);
            let account = Some(key(op.account));
            let conns = &self.daemons[daemon].conns;
            let opening = |c: &&ConnEntry| c.is_of(account) && c.state == ConnState::Opening;
            let claimed = left.iter().filter(|o| o.account == op.account).count() - 1;
            if conns.iter().filter(opening).count() > claimed {
                continue;
            }
            let others_wait = order.iter().any(|o| o.account != op.account);
            match budget_step(&self.budget(daemon), conns, op, others_wait, self.now) {
                ConnStep::Open => self.open(daemon, account),
                ConnStep::Evict(victim) => {
                    self.daemons[daemon].conns.retain(|c| c.key != victim);
                    self.open(daemon, account);
                }
                ConnStep::Use(_) | ConnStep::Wait => {}
            }
        }
        self.daemons[daemon].waiting = left;
    }

    /// Lets an operation run if there is an idle connection of its account.
    fn assign_idle(&mut self, daemon: usize, op: &Op) -> bool {
        let conns = &self.daemons[daemon].conns;
        let step = budget_step(&self.budget(daemon), conns, op, false, self.now);
        let ConnStep::Use(key) = step else {
            return false;
        };
        self.start(daemon, key, *op);
        true
    }

    fn start(&mut self, daemon: usize, key: ConnKey, op: Op) {
        self.set_state(daemon, key, ConnState::Held);
        let left_ms = op.service_ms;
        let op = Some(op);
        self.queue.push(Job {
            daemon,
            key,
            op,
            left_ms,
        });
    }

    fn open(&mut self, daemon: usize, account: Option<AccountKey>) {
        self.openings += 1;
        if self.used() >= self.limit {
            self.refused_openings.push(self.now);
            let above = self.budget(daemon);
            let above = above.above_share(&self.daemons[daemon].conns, 0, Ms(self.now));
            let daemon = &mut self.daemons[daemon];
            daemon.retry_at = self.now + RETRY_MS;
            daemon.conns.retain(|c| !above.contains(&c.key));
            return;
        }
        let key = ConnKey(self.next_key);
        self.next_key += 1;
        let conns = &mut self.daemons[daemon].conns;
        conns.push(ConnEntry {
            key,
            purpose: Purpose::Statements(account),
            state: ConnState::Opening,
            since: Ms(self.now),
            opened_at: Ms(self.now),
        });
        let opening = conns.iter().filter(|c| c.state == ConnState::Opening);
        self.peak_opening = self.peak_opening.max(opening.count());
        self.queue.push(Job {
            daemon,
            key,
            op: None,
            left_ms: OPENING_MS,
        });
    }

    fn set_state(&mut self, daemon: usize, key: ConnKey, state: ConnState) {
        let now = Ms(self.now);
        let conns = &mut self.daemons[daemon].conns;
        let entry = conns.iter_mut().find(|c| c.key == key).expect("it is open");
        if entry.state == ConnState::Opening {
            entry.opened_at = now;
        }
        (entry.state, entry.since) = (state, now);
    }

    fn run_slots(&mut self) {
        while (self.running.len() as u64) < self.slots && !self.queue.is_empty() {
            let job = self.queue.remove(0);
            self.running.push(job);
        }
        for job in &mut self.running {
            job.left_ms -= 1;
        }
        let (done, running) = self.running.iter().partition(|job| job.left_ms == 0);
        self.running = running;
        let done: Vec<Job> = done;
        for job in done {
            self.finish(job);
        }
    }

    fn finish(&mut self, job: Job) {
        let Some(op) = job.op else {
            return self.set_state(job.daemon, job.key, ConnState::Idle);
        };
        let at = self.now + 1;
        let served = true;
        self.ends.push(End { op, at, served });
        if op.pinned_ms > 0 {
            self.pinned.push((at + op.pinned_ms, job.daemon, job.key));
        } else {
            self.set_state(job.daemon, job.key, ConnState::Idle);
        }
    }

    fn release_pinned(&mut self) {
        let pinned = std::mem::take(&mut self.pinned);
        for (until, daemon, key) in pinned {
            if until > self.now {
                self.pinned.push((until, daemon, key));
            } else {
                self.set_state(daemon, key, ConnState::Idle);
            }
        }
    }

    /// Refuses what cannot be served in time, and closes surplus connections.
    fn check(&mut self, daemon: usize) {
        let budget = self.budget(daemon);
        let now = Ms(self.now);
        let surplus = budget.surplus(&self.daemons[daemon].conns, now);
        self.daemons[daemon]
            .conns
            .retain(|c| !surplus.contains(&c.key));
        let waiting = std::mem::take(&mut self.daemons[daemon].waiting);
        let conns = self.daemons[daemon].conns.clone();
        for (i, &op) in waiting.iter().enumerate() {
            let account = Some(key(op.account));
            let has_own = conns.iter().any(|c| c.is_of(account));
            let mut ahead: Vec<usize> = waiting[..i].iter().map(|o| o.account).collect();
            if has_own {
                ahead.retain(|&a| a == op.account);
            } else {
                ahead.sort_unstable();
                ahead.dedup();
            }
            let wait_ms = budget.expected_wait_ms(&conns, account, ahead.len(), 20.0, now);
            let left_ms = (op.arrival + DEADLINE_MS).saturating_sub(self.now);
            #[allow(clippy::cast_precision_loss, reason = "times of a few seconds")]
            let is_hopeless = wait_ms > left_ms as f64;
            if is_hopeless {
                let (at, served) = (self.now, false);
                self.ends.push(End { op, at, served });
            } else {
                self.daemons[daemon].waiting.push(op);
            }
        }
    }
}

fn key(account: usize) -> AccountKey {
    AccountKey(u32::try_from(account).expect("few accounts"))
}

fn budget_step(
    budget: &ConnBudget,
    conns: &[ConnEntry],
    op: &Op,
    others_wait: bool,
    now: u64,
) -> ConnStep {
    budget.next_step(conns, Some(key(op.account)), others_wait, Ms(now))
}
