//! One caller of a soak: sessions that roam, operations, and checks of each answer.

use std::rc::Rc;
use std::time::Duration;

use base::Ms;
use link::BufferedStream;
use monoio::net::TcpStream;
use world::World;

use super::fleet::Fleet;
use super::ledger::{Ledger, Told};
use super::{GROUPS, pause};

/// Time a caller waits for an answer, in ms.
const ANSWER_MS: u64 = 3000;
/// Time a caller waits for a session, in seconds.
const CONNECT_S: u64 = 2;
/// Age that reads of the aged route accept, in ms.
const AGE_MS: u64 = 1500;
/// Most daemons among which no session is handed over.
const UNHANDED: usize = 12;
/// Errors that promise that nothing is kept.
const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "CONNLIMIT",
];

/// A caller.
pub struct Client {
    number: usize,
    rng: fastrand::Rng,
    world: Rc<World>,
    fleet: Rc<Fleet>,
    ledger: Rc<Ledger>,
    /// Grows when the outcome of a write is unknown, so that a late run of it deceives no check.
    generation: u64,
    count: u64,
    statements: u64,
}

/// An answer.
struct Answer {
    rows: Vec<String>,
    /// What it repeats of the statement, or the error's code.
    end: Result<String, String>,
}

struct Session {
    link: BufferedStream,
    group: usize,
    /// Index of the daemon, and the start of its process that the session belongs to.
    daemon: usize,
    launch: u64,
    /// Newest own counter that was acknowledged in this session.
    own: u64,
}

enum Ended {
    /// Without a whole answer.
    Cut,
    /// With an error's code.
    Code(String),
}

impl Client {
    /// A caller with choices of its own.
    pub fn new(
        number: usize,
        seed: u64,
        world: &Rc<World>,
        fleet: &Rc<Fleet>,
        ledger: &Rc<Ledger>,
    ) -> Client {
        Client {
            world: world.clone(),
            number,
            rng: fastrand::Rng::with_seed(seed * 1000 + number as u64),
            fleet: fleet.clone(),
            ledger: ledger.clone(),
            generation: 0,
            count: 0,
            statements: 0,
        }
    }

    fn item(&self) -> String {
        format!("c{}g{}", self.number, self.generation)
    }

    /// Runs until the ledger stops.
    pub async fn run(mut self) {
        while !self.ledger.stop.get() {
            let route = *self.rng.choice(&["newest", "own", "aged"]).expect("some");
            let group = self.rng.usize(..GROUPS);
            if self.rng.u8(..3) == 0 {
                self.look_at_version().await;
            }
            let Some(mut session) = self.connect(group, route).await else {
                pause(100).await;
                continue;
            };
            let more = self.rng.u64(1..40);
            for _ in 0..more {
                if self.ledger.stop.get() {
                    break;
                }
                if !self.operation(&mut session, route).await {
                    break;
                }
                pause(self.rng.u64(2..40)).await;
            }
        }
    }

    async fn connect(&mut self, group: usize, route: &str) -> Option<Session> {
        let daemon = self.rng.usize(..self.fleet.daemons.len());
        let launch = self.fleet.daemons[daemon].launches.get();
        Some(Session {
            link: self.open(daemon, &format!("g{group}-{route}")).await?,
            group,
            daemon,
            launch,
            own: 0,
        })
    }

    /// Opens a session for a database at a daemon; `None` when it is not taken.
    async fn open(&self, daemon: usize, database: &str) -> Option<BufferedStream> {
        let daemon = &self.fleet.daemons[daemon];
        let open = async {
            let stream = TcpStream::connect(&*daemon.listen).await.ok()?;
            let mut link = BufferedStream::new(stream).ok()?;
            let hello = format!("CONNECT {database} c{}\r\n", self.number);
            link.send(hello.as_bytes()).await.ok()?;
            let first = line(&mut link).await?;
            first.starts_with("READY I").then_some(link)
        };
        let link = monoio::time::timeout(Duration::from_secs(CONNECT_S), open).await;
        link.ok()?
    }

    /// Looks whether a daemon has gone back to an older configuration: each version has a database
    /// that no other version has.
    async fn look_at_version(&mut self) {
        let n = self.rng.usize(..self.fleet.daemons.len());
        let daemon = &self.fleet.daemons[n];
        let (launch, before) = (daemon.launches.get(), daemon.version.get());
        let newest = self.world.version();
        let version = if self.rng.bool() {
            newest
        } else {
            self.rng.u64(1..=newest)
        };
        let served = self.open(n, &format!("v{version}")).await.is_some();
        if !served || daemon.launches.get() != launch {
            return;
        }
        if version < before {
            let text = format!("CONFIG: {} fell from {before} to {version}", daemon.name);
            self.ledger.fault(text);
        }
        daemon.version.set(daemon.version.get().max(version));
    }

    /// Notes a statement that a member was sent and that ended without an answer, though the
    /// daemon's process was neither killed nor frozen.
    fn check_cut(&self, session: &Session, id: &str) {
        let daemon = &self.fleet.daemons[session.daemon];
        let sound = daemon.launches.get() == session.launch && !daemon.hurt.get();
        let handed = self.fleet.daemons.len() > UNHANDED;
        let heard = &self.world.groups[session.group].heard;
        if sound && !handed && !self.ledger.stop.get() && heard.borrow().contains(id) {
            let text = format!("CUT: {id} at {} was sent to a member", daemon.name);
            self.ledger.fault(text);
        }
    }

    /// Runs one operation; false when the session is of no further use.
    async fn operation(&mut self, session: &mut Session, route: &str) -> bool {
        let kind = self.rng.u8(..10);
        let result = match (route, kind) {
            ("aged", _) => self.read(session, route).await,
            (_, 0..=3) => self.write(session).await,
            (_, 4) => self.transaction(session).await,
            _ => self.read(session, route).await,
        };
        match result {
            Ok(()) => {
                self.ledger.served.set(self.ledger.served.get() + 1);
                true
            }
            Err(Ended::Code(code)) => {
                let counter = if PROMISES.contains(&&*code) {
                    &self.ledger.refused
                } else {
                    &self.ledger.unknown
                };
                counter.set(counter.get() + 1);
                pause(self.rng.u64(20..200)).await;
                true
            }
            Err(Ended::Cut) => {
                self.ledger.unknown.set(self.ledger.unknown.get() + 1);
                false
            }
        }
    }

    async fn read(&mut self, session: &mut Session, route: &str) -> Result<(), Ended> {
        let own = route == "own" && self.rng.bool();
        let newest = self.ledger.newest(session.group);
        let item = match newest.filter(|_| self.rng.bool()) {
            _ if own => self.item(),
            Some(item) => item,
            None => format!("c{}g0", self.rng.usize(..super::CALLERS)),
        };
        let start = Ms::now();
        let least = match route {
            "newest" => self.ledger.acked(session.group, &item, start),
            _ if own => session.own,
            _ => {
                let then = Ms(start
                    .0
                    .saturating_sub(AGE_MS + 1000 * u64::from(route == "own")));
                self.ledger.acked(session.group, &item, then)
            }
        };
        let (id, answer) = self.ask(session, &format!("READ {item}")).await?;
        let seen = self.check_row(&id, &item, &answer)?;
        if seen < least {
            self.ledger.fault(format!(
                "STALE: {route} read {id} of {item} in g{} saw {seen}, {least} was acknowledged",
                session.group
            ));
        }
        Ok(())
    }

    /// Checks that a row and its echo are those of the question; returns the counter read.
    fn check_row(&self, id: &str, item: &str, answer: &Answer) -> Result<u64, Ended> {
        let echo = answer.end.clone().map_err(Ended::Code)?;
        let row = answer.rows.first().map_or("", String::as_str);
        let (name, data) = row.split_once(' ').unwrap_or(("", ""));
        if echo != format!("{id}.{item}") || name != item {
            let text = format!("MIXED: {id} asked for {item}, got {row:?} echoed as {echo}");
            self.ledger.fault(text);
        }
        Ok(data.parse().unwrap_or(0))
    }

    async fn write(&mut self, session: &mut Session) -> Result<(), Ended> {
        self.count += 1;
        let (item, count) = (self.item(), self.count);
        let text = if self.rng.bool() {
            format!("WRITE {item} {count}")
        } else {
            self.plain(session, "PREPARE w WRITE q").await?;
            format!("EXECUTE w {item} {count}")
        };
        let result = self.ask(session, &text).await;
        self.settle(session, &item, count, result.map(|(_, answer)| answer.end))
    }

    /// Notes what was told of a write.
    fn settle(
        &mut self,
        session: &mut Session,
        item: &str,
        count: u64,
        end: Result<Result<String, String>, Ended>,
    ) -> Result<(), Ended> {
        let told = match &end {
            Ok(Ok(_)) => Told::Kept,
            Ok(Err(code)) if PROMISES.contains(&&**code) => Told::NotKept,
            _ => Told::Unknown,
        };
        self.ledger.told(session.group, item, count, told);
        if told == Told::Kept {
            session.own = count;
        }
        if told == Told::Unknown {
            self.generation += 1;
            session.own = 0;
        }
        end?.map(|_| ()).map_err(Ended::Code)
    }

    async fn transaction(&mut self, session: &mut Session) -> Result<(), Ended> {
        self.plain(session, "SET mode fast").await?;
        self.plain(session, "BEGIN").await?;
        self.count += 1;
        let (item, count) = (self.item(), self.count);
        let result = self.statements(session, &item, count).await;
        if let Err(Ended::Code(code)) = &result
            && code != "COMMIT"
        {
            // Nothing was committed, whatever the code says.
            self.ledger.told(session.group, &item, count, Told::NotKept);
            self.plain(session, "ROLLBACK").await?;
            return result;
        }
        if let Err(Ended::Cut) = result {
            self.ledger.told(session.group, &item, count, Told::NotKept);
            return result;
        }
        if self.rng.u8(..4) == 0 {
            self.ledger.told(session.group, &item, count, Told::NotKept);
            return self.plain(session, "ROLLBACK").await;
        }
        let result = self.ask(session, "COMMIT").await;
        self.settle(session, &item, count, result.map(|(_, answer)| answer.end))
    }

    async fn statements(
        &mut self,
        session: &mut Session,
        item: &str,
        count: u64,
    ) -> Result<(), Ended> {
        let (id, answer) = self.ask(session, &format!("READ {item}")).await?;
        self.check_row(&id, item, &answer)?;
        pause(self.rng.u64(1..30)).await;
        let (_, answer) = self.ask(session, &format!("WRITE {item} {count}")).await?;
        answer.end.map_err(Ended::Code)?;
        let (id, answer) = self.ask(session, &format!("READ {item}")).await?;
        let seen = self.check_row(&id, item, &answer)?;
        if seen != count {
            let text = format!("PINNED: {id} saw {seen}, its transaction wrote {count}");
            self.ledger.fault(text);
        }
        Ok(())
    }

    async fn plain(&mut self, session: &mut Session, text: &str) -> Result<(), Ended> {
        let (_, answer) = self.ask(session, text).await?;
        answer.end.map(|_| ()).map_err(Ended::Code)
    }

    async fn ask(&mut self, session: &mut Session, text: &str) -> Result<(String, Answer), Ended> {
        self.statements += 1;
        let id = format!("c{}s{}", self.number, self.statements);
        let message = format!("QUERY {id} {text}\r\n");
        let exchange = exchange(&mut session.link, &message);
        let answer = monoio::time::timeout(Duration::from_millis(ANSWER_MS), exchange).await;
        match answer {
            Ok(Some(answer)) => Ok((id, answer)),
            Ok(None) => {
                self.check_cut(session, &id);
                Err(Ended::Cut)
            }
            Err(_) => Err(Ended::Cut),
        }
    }
}

async fn exchange(link: &mut BufferedStream, message: &str) -> Option<Answer> {
    link.send(message.as_bytes()).await.ok()?;
    let mut rows = Vec::new();
    let mut end = Err("MISSING".to_owned());
    loop {
        let text = line(link).await?;
        let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
        match word {
            "ROW" => rows.push(rest.to_owned()),
            "COMPLETE" => end = Ok(rest.to_owned()),
            "ERROR" => end = Err(rest.split(' ').next().unwrap_or("").to_owned()),
            _ => return Some(Answer { rows, end }),
        }
    }
}

async fn line(link: &mut BufferedStream) -> Option<String> {
    loop {
        if let Some(end) = link.input.iter().position(|&b| b == b'\n') {
            let taken = link.input.split_to(end + 1);
            return Some(String::from_utf8_lossy(&taken).trim_end().to_owned());
        }
        match link.read_more().await {
            Ok(n) if n > 0 => {}
            _ => return None,
        }
    }
}
