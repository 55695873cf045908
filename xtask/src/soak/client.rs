//! A caller of a soak test: opens sessions at random daemons, runs operations and checks each
//! answer.

use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use link::BufferedStream;
use monoio::net::TcpStream;
use world::World;

use super::accounts::{Accounts, Caller};
use super::fleet::Fleet;
use super::ledger::{Ledger, WriteOutcome};
use super::{GROUP_COUNT, sleep_ms};

const ANSWER_TIMEOUT_MS: u64 = 3000;
const CONNECT_TIMEOUT_S: u64 = 2;
/// Staleness that reads of the `aged` route accept.
const MAX_STALENESS_MS: u64 = 1500;
/// Time within which a connection may end under a statement that the daemon has not passed on, in ms: it
/// may have been sent before its caller saw the end.
const LOSS_SLACK_MS: u64 = 200;
/// Range of the pauses in transactions where daemons are stopped in series, in ms; below the idle timeout.
const PAUSE_MS: (u64, u64) = (100, 2800);
/// Text that begins an error for an account that is over its rate; stands for its code here.
const OVER_RATE: &str = "BUSY over the account's rate";
/// Operations of a long session; it lasts beyond the time in which a withdrawn key may be used.
const LONG_SESSION_OPERATIONS: u64 = 1000;
/// Codes of errors after which the statement is guaranteed not to have been applied.
const NOT_APPLIED_CODES: [&str; 8] = [
    "BUSY",
    OVER_RATE,
    "DENIED",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "CONNLIMIT",
];

pub struct Client {
    /// Index of the caller, part of its items and statement identifiers.
    number: usize,
    rng: fastrand::Rng,
    world: Rc<World>,
    fleet: Rc<Fleet>,
    ledger: Rc<Ledger>,
    accounts: Option<Rc<Accounts>>,
    caller: Caller,
    /// When the current operation began.
    operation_at: Ms,
    in_transaction: bool,
    /// Incremented when the outcome of a write is unknown; the caller then writes to a new item, so
    /// that the late application of that write cannot confuse later checks.
    generation: u64,
    /// Counter of the last write, unique for each write of this caller.
    write_count: u64,
    statement_count: u64,
}

/// Answer to a statement.
struct Answer {
    rows: Vec<String>,
    /// Echo of the completion, which names the statement and its item, or the error code.
    completion: Result<String, String>,
}

struct Session {
    link: BufferedStream,
    group: usize,
    /// Index of the daemon.
    daemon: usize,
    /// Key that it was opened with, if any.
    key: Option<Box<str>>,
    /// Value of `Daemon::launches` when the session was opened.
    launch: u64,
    /// Last counter of the caller's current item that was acknowledged in this session; 0 if there
    /// is none.
    acked_counter: u64,
}

enum StatementError {
    /// The connection ended or the timeout passed before the answer was complete.
    NoAnswer,
    /// The answer is an error with this code.
    Code(String),
}

impl Client {
    /// Creates a caller whose random choices are seeded with `seed` and `number`.
    pub fn new(
        number: usize,
        seed: u64,
        world: &Rc<World>,
        fleet: &Rc<Fleet>,
        ledger: &Rc<Ledger>,
        accounts: Option<&Rc<Accounts>>,
    ) -> Client {
        Client {
            world: world.clone(),
            number,
            rng: fastrand::Rng::with_seed(seed * 1000 + number as u64),
            fleet: fleet.clone(),
            ledger: ledger.clone(),
            accounts: accounts.cloned(),
            caller: Caller::of_number(number),
            operation_at: Ms::now(),
            in_transaction: false,
            generation: 0,
            write_count: 0,
            statement_count: 0,
        }
    }

    /// Item that only this caller writes to.
    fn own_item(&self) -> String {
        format!("c{}g{}", self.number, self.generation)
    }

    /// Runs sessions until `Ledger::stopping` is set.
    pub async fn run(mut self) {
        while !self.ledger.stopping.get() {
            let route = self.choose_route();
            let group = self.rng.usize(..GROUP_COUNT);
            if self.rng.u8(..3) == 0 {
                self.check_version().await;
            }
            let Some(mut session) = self.connect(group, route).await else {
                sleep_ms(100).await;
                continue;
            };
            let mut operations = self.rng.u64(1..40);
            if self.accounts.is_some() && self.rng.u8(..4) == 0 {
                operations = LONG_SESSION_OPERATIONS;
            }
            for _ in 0..operations {
                if self.ledger.stopping.get() {
                    break;
                }
                if !self.run_operation(&mut session, route).await {
                    break;
                }
                sleep_ms(self.rng.u64(2..40)).await;
            }
        }
    }

    fn choose_route(&mut self) -> &'static str {
        if self.accounts.is_some() && self.caller == Caller::Public {
            return "public";
        }
        self.rng
            .choice(&["newest", "own", "aged"])
            .expect("the list is not empty")
    }

    /// Opens a session for a route of a group at a random daemon.
    async fn connect(&mut self, group: usize, route: &str) -> Option<Session> {
        let daemon = self.rng.usize(..self.fleet.daemons.len());
        let launch = self.fleet.daemons[daemon].launches.get();
        let key = self.choose_key();
        let (sent_at, database) = (Ms::now(), format!("g{group}-{route}"));
        let (link, answer) = self.open(daemon, &database, key.as_deref()).await?;
        let code = answer.trim_start_matches("ERROR ").split(' ').next();
        if let Some(accounts) = &self.accounts {
            accounts.check_handshake(key.as_deref(), sent_at, code, &self.world);
        }
        if code != Some("READY") {
            return None;
        }
        Some(Session {
            link,
            group,
            daemon,
            key,
            launch,
            acked_counter: 0,
        })
    }

    /// Key for the next session. Without accounts, daemons ignore it.
    fn choose_key(&mut self) -> Option<Box<str>> {
        match &self.accounts {
            Some(accounts) => accounts.choose_key(self.caller, &mut self.rng),
            None => Some(format!("c{}", self.number).into()),
        }
    }

    /// Requests a session for a database at a daemon; `None` without an answer.
    async fn open(
        &self,
        daemon: usize,
        database: &str,
        key: Option<&str>,
    ) -> Option<(BufferedStream, String)> {
        let daemon = &self.fleet.daemons[daemon];
        let key = key.map_or(String::new(), |key| format!(" {key}"));
        let open = async {
            let stream = TcpStream::connect(&*daemon.listen_addr).await.ok()?;
            let mut link = BufferedStream::new(stream).ok()?;
            let request = format!("CONNECT {database}{key}\r\n");
            link.send(request.as_bytes()).await.ok()?;
            let first = read_line(&mut link).await?;
            Some((link, first))
        };
        let link = monoio::time::timeout(Duration::from_secs(CONNECT_TIMEOUT_S), open).await;
        link.ok()?
    }

    /// Checks that a daemon has not reverted to an older configuration. Each version has a database
    /// that exists in no other version, so a session for it shows the version in force.
    async fn check_version(&mut self) {
        let n = self.rng.usize(..self.fleet.daemons.len());
        let daemon = &self.fleet.daemons[n];
        let (launch, before) = (daemon.launches.get(), daemon.seen_version.get());
        let newest = self.world.config_version();
        let version = if self.rng.bool() {
            newest
        } else {
            self.rng.u64(1..=newest)
        };
        let answer = self.open(n, &format!("v{version}"), None).await;
        if !answer.is_some_and(|(_, line)| line.starts_with("READY I"))
            || daemon.launches.get() != launch
        {
            return;
        }
        if version < before {
            let text = format!(
                "CONFIG: {} went back from version {before} to {version}",
                daemon.name
            );
            self.ledger.record_violation(text);
        }
        daemon
            .seen_version
            .set(daemon.seen_version.get().max(version));
    }

    /// Records a violation if the connection ended without an answer to a statement that had been sent
    /// to a member, or later than `LOSS_SLACK_MS` after the statement, although the daemon's process was
    /// neither killed nor frozen. Not checked once callers are stopping.
    fn check_lost_answer(&self, session: &Session, id: &str, sent_at: Ms) {
        let daemon = &self.fleet.daemons[session.daemon];
        let undisrupted = daemon.launches.get() == session.launch && !daemon.disrupted.get();
        let received_ids = &self.world.groups[session.group].received_ids;
        let is_passed_on = received_ids.borrow().contains(id);
        let waited_ms = sent_at.elapsed();
        if undisrupted && !self.ledger.stopping.get() && (is_passed_on || waited_ms > LOSS_SLACK_MS)
        {
            let text = format!(
                "CUT: {id} at {} got no answer within {waited_ms} ms; sent to a member: {is_passed_on}",
                daemon.name
            );
            self.ledger.record_violation(text);
        }
    }

    /// Runs an operation; returns whether the session is still usable.
    async fn run_operation(&mut self, session: &mut Session, route: &str) -> bool {
        let kind = self.rng.u8(..10);
        let result = match (route, kind) {
            ("aged", _) => self.read(session, route).await,
            (_, 0..=3) => self.write(session).await,
            (_, 4) => self.transaction(session).await,
            _ => self.read(session, route).await,
        };
        self.in_transaction = false;
        match result {
            Ok(()) => {
                self.ledger.served.set(self.ledger.served.get() + 1);
                true
            }
            Err(StatementError::Code(code)) => {
                let counter = if let Some(accounts) = &self.accounts
                    && [OVER_RATE, "DENIED"].contains(&&*code)
                {
                    &accounts.refused
                } else if NOT_APPLIED_CODES.contains(&&*code) {
                    &self.ledger.refused
                } else {
                    &self.ledger.unknown
                };
                counter.set(counter.get() + 1);
                sleep_ms(self.rng.u64(20..200)).await;
                code != "DENIED"
            }
            Err(StatementError::NoAnswer) => {
                self.ledger.unknown.set(self.ledger.unknown.get() + 1);
                false
            }
        }
    }

    /// Reads an item and checks that its counter is not older than the route allows.
    async fn read(&mut self, session: &mut Session, route: &str) -> Result<(), StatementError> {
        let own = route == "own" && self.rng.bool();
        let recent = self.ledger.last_acked_item(session.group);
        let item = match recent.filter(|_| self.rng.bool()) {
            _ if own => self.own_item(),
            Some(item) => item,
            None => format!("c{}g0", self.rng.usize(..super::CALLER_COUNT)),
        };
        let start = Ms::now();
        let min_counter = match route {
            "newest" | "public" => self.ledger.acked_counter(session.group, &item, start),
            _ if own => session.acked_counter,
            _ => {
                // Reads of the `own` route accept 1 s more, see `World::configure`.
                let fresh_by = Ms(start
                    .0
                    .saturating_sub(MAX_STALENESS_MS + 1000 * u64::from(route == "own")));
                self.ledger.acked_counter(session.group, &item, fresh_by)
            }
        };
        let (id, answer) = self.query(session, &format!("READ {item}")).await?;
        let seen = self.check_row(&id, &item, &answer)?;
        if seen < min_counter {
            self.ledger.record_violation(format!(
                "STALE: {route} read {id} of {item} in g{} saw {seen}, {min_counter} was acknowledged",
                session.group
            ));
        }
        Ok(())
    }

    /// Checks that a row and the echo belong to the statement; returns the counter read.
    fn check_row(&self, id: &str, item: &str, answer: &Answer) -> Result<u64, StatementError> {
        let echo = answer.completion.clone().map_err(StatementError::Code)?;
        let row = answer.rows.first().map_or("", String::as_str);
        let (name, data) = row.split_once(' ').unwrap_or(("", ""));
        if echo != format!("{id}.{item}") || name != item {
            let text = format!("MIXED: {id} asked for {item}, got {row:?} echoed as {echo}");
            self.ledger.record_violation(text);
        }
        Ok(data.parse().unwrap_or(0))
    }

    /// Writes the next counter to the caller's own item, directly or by a prepared statement.
    async fn write(&mut self, session: &mut Session) -> Result<(), StatementError> {
        self.write_count += 1;
        let (item, count) = (self.own_item(), self.write_count);
        let text = if self.rng.bool() {
            format!("WRITE {item} {count}")
        } else {
            self.execute(session, "PREPARE w WRITE q").await?;
            format!("EXECUTE w {item} {count}")
        };
        let result = self.query(session, &text).await;
        self.record_outcome(
            session,
            &item,
            count,
            result.map(|(_, answer)| answer.completion),
        )
    }

    /// Records the outcome of a write in the ledger and in the session.
    fn record_outcome(
        &mut self,
        session: &mut Session,
        item: &str,
        count: u64,
        result: Result<Result<String, String>, StatementError>,
    ) -> Result<(), StatementError> {
        let outcome = match &result {
            Ok(Ok(_)) => WriteOutcome::Acknowledged,
            Ok(Err(code)) if NOT_APPLIED_CODES.contains(&&**code) => WriteOutcome::NotApplied,
            _ => WriteOutcome::Unknown,
        };
        self.ledger
            .record_write(session.group, item, count, outcome);
        if outcome == WriteOutcome::Acknowledged {
            session.acked_counter = count;
        }
        if outcome == WriteOutcome::Unknown {
            self.generation += 1;
            session.acked_counter = 0;
        }
        result?.map(|_| ()).map_err(StatementError::Code)
    }

    /// Runs a transaction that writes the next counter to the caller's own item and, one time in
    /// four, ends with a rollback.
    async fn transaction(&mut self, session: &mut Session) -> Result<(), StatementError> {
        self.execute(session, "SET mode fast").await?;
        self.execute(session, "BEGIN").await?;
        self.in_transaction = true;
        self.pause().await;
        self.write_count += 1;
        let (item, count) = (self.own_item(), self.write_count);
        let result = self.run_statements(session, &item, count).await;
        if let Err(StatementError::Code(code)) = &result
            && code != "COMMIT"
        {
            // COMMIT was not sent, so the write was not applied, whatever the error code means.
            self.ledger
                .record_write(session.group, &item, count, WriteOutcome::NotApplied);
            self.execute(session, "ROLLBACK").await?;
            return result;
        }
        // COMMIT was not sent here either.
        if let Err(StatementError::NoAnswer) = result {
            self.ledger
                .record_write(session.group, &item, count, WriteOutcome::NotApplied);
            return result;
        }
        if self.rng.u8(..4) == 0 {
            self.ledger
                .record_write(session.group, &item, count, WriteOutcome::NotApplied);
            return self.execute(session, "ROLLBACK").await;
        }
        let result = self.query(session, "COMMIT").await;
        self.record_outcome(
            session,
            &item,
            count,
            result.map(|(_, answer)| answer.completion),
        )
    }

    /// Pauses in one of four transactions where daemons are stopped in series, so that statements come
    /// late in a stop.
    async fn pause(&mut self) {
        if self.fleet.has_stops && self.rng.u8(..4) == 0 {
            sleep_ms(self.rng.u64(PAUSE_MS.0..PAUSE_MS.1)).await;
        }
    }

    /// Reads, writes and reads an item back inside a transaction.
    async fn run_statements(
        &mut self,
        session: &mut Session,
        item: &str,
        count: u64,
    ) -> Result<(), StatementError> {
        let (id, answer) = self.query(session, &format!("READ {item}")).await?;
        self.check_row(&id, item, &answer)?;
        sleep_ms(self.rng.u64(1..30)).await;
        self.pause().await;
        let (_, answer) = self
            .query(session, &format!("WRITE {item} {count}"))
            .await?;
        answer.completion.map_err(StatementError::Code)?;
        let (id, answer) = self.query(session, &format!("READ {item}")).await?;
        let seen = self.check_row(&id, item, &answer)?;
        if seen != count {
            let text = format!("PINNED: {id} saw {seen}, its transaction wrote {count}");
            self.ledger.record_violation(text);
        }
        Ok(())
    }

    /// Runs a statement whose rows do not matter.
    async fn execute(&mut self, session: &mut Session, text: &str) -> Result<(), StatementError> {
        let (_, answer) = self.query(session, text).await?;
        answer.completion.map(|_| ()).map_err(StatementError::Code)
    }

    /// Sends a statement; returns its identifier and the answer.
    async fn query(
        &mut self,
        session: &mut Session,
        text: &str,
    ) -> Result<(String, Answer), StatementError> {
        self.statement_count += 1;
        let id = format!("c{}s{}", self.number, self.statement_count);
        if !self.in_transaction {
            self.operation_at = Ms::now();
        }
        if let Some(accounts) = &self.accounts {
            accounts.record_sent(&id, session.key.as_deref(), self.operation_at);
        }
        let request = format!("QUERY {id} {text}\r\n");
        let sent_at = Ms::now();
        let exchange = exchange(&mut session.link, &request);
        let answer =
            monoio::time::timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), exchange).await;
        match answer {
            Ok(Some(answer)) => Ok((id, answer)),
            Ok(None) => {
                self.check_lost_answer(session, &id, sent_at);
                Err(StatementError::NoAnswer)
            }
            Err(_) => Err(StatementError::NoAnswer),
        }
    }
}

/// Sends a request and reads its answer up to the closing line, or up to the end of the connection
/// after `DENIED`; `None` if the connection ends before.
async fn exchange(link: &mut BufferedStream, request: &str) -> Option<Answer> {
    link.send(request.as_bytes()).await.ok()?;
    let mut rows = Vec::new();
    let mut completion = Err("MISSING".to_owned());
    loop {
        let Some(text) = read_line(link).await else {
            let is_denied = completion.as_ref().is_err_and(|code| code == "DENIED");
            return is_denied.then_some(Answer { rows, completion });
        };
        let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
        match word {
            "ROW" => rows.push(rest.to_owned()),
            "COMPLETE" => completion = Ok(rest.to_owned()),
            "ERROR" if rest.starts_with(OVER_RATE) => completion = Err(OVER_RATE.to_owned()),
            "ERROR" => completion = Err(rest.split(' ').next().unwrap_or("").to_owned()),
            _ => return Some(Answer { rows, completion }),
        }
    }
}

/// Reads a line without its end; `None` if the connection ends first.
async fn read_line(link: &mut BufferedStream) -> Option<String> {
    loop {
        if let Some(end) = link.input.iter().position(|&b| b == b'\n') {
            let line = link.input.split_to(end + 1);
            return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
        }
        match link.read_more().await {
            Ok(n) if n > 0 => {}
            _ => return None,
        }
    }
}
