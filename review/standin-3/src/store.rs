//! The platform's metadata store. Each daemon has an address of its own, so that it can be cut off alone.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::Json;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

struct Change {
    revision: u64,
    kind: String,
    object: Json,
    removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
    /// Number of restores so far.
    era: u64,
    /// Watches from an earlier revision get 410.
    compacted: u64,
    /// The copy from which the store is restored: its revision and objects, and when it was made.
    copy: Option<(u64, BTreeMap<(String, String), Object>, Instant)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn object_json(name: &str, o: &Object) -> Json {
    let meta = Json::obj(&[
        ("name", Json::str(name)),
        ("revision", Json::num(o.revision)),
        ("created", Json::num(o.created)),
        ("finalizers", Json::Arr(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    Json::obj(&[
        ("meta", meta),
        ("spec", o.spec.clone()),
        ("status", o.status.clone()),
    ])
}

impl Store {
    /// Writes an object; with `revision`, only if that is its revision, and with `Some(None)` only if it is new.
    pub fn put(
        &self,
        kind: &str,
        name: &str,
        spec: &Json,
        condition: Option<Option<u64>>,
    ) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let current = state.objects.get(&key);
        match (current, condition) {
            (Some(o), Some(None)) => return (409, object_json(name, o)),
            (Some(o), Some(Some(r))) if o.revision != r => return (409, object_json(name, o)),
            (None, Some(Some(_))) => return (404, Json::Null),
            (Some(o), _) if o.spec == *spec => return (200, object_json(name, o)),
            _ => {}
        }
        let created = current.map(|o| o.created);
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            revision,
            created: created.unwrap_or(revision),
            spec: spec.clone(),
            status: Json::Null,
        };
        let json = object_json(name, &object);
        state.objects.insert(key, object);
        state.history.push(Change {
            revision,
            kind: kind.into(),
            object: json.clone(),
            removed: false,
        });
        self.changed.notify_all();
        (200, json)
    }

    /// Makes the copy from which `restore` restores, once an object holds a promotion order; returns
    /// whether there is one.
    pub fn copy_with_order(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let has_order = |(key, object): (&(String, String), &Object)| {
            key.0 == "duties"
                && matches!(object.spec.get("orders"), Json::Arr(orders) if !orders.is_empty())
        };
        if state.copy.is_none() && state.objects.iter().any(has_order) {
            state.copy = Some((state.revision, state.objects.clone(), Instant::now()));
        }
        state.copy.is_some()
    }

    /// Restores the store from the copy; returns its age in ms. What was written since is gone, revisions
    /// are given out again, and the era rises by one.
    pub fn restore(&self) -> u128 {
        let mut state = self.state.lock().unwrap();
        let (revision, objects, at) = state.copy.take().expect("a copy");
        (state.revision, state.objects) = (revision, objects);
        state.history.clear();
        state.compacted = revision;
        state.era += 1;
        self.changed.notify_all();
        at.elapsed().as_millis()
    }

    pub fn era(&self) -> u64 {
        self.state.lock().unwrap().era
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).map(|o| object_json(name, o))
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.remove(&key) else {
            return false;
        };
        let json = object_json(name, &object);
        state.revision += 1;
        let revision = state.revision;
        state.history.push(Change {
            revision,
            kind: kind.into(),
            object: json,
            removed: true,
        });
        self.changed.notify_all();
        true
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let state = self.state.lock().unwrap();
        let of_kind = state
            .objects
            .iter()
            .filter(|(k, _)| k.0 == kind && k.1.as_str() > after);
        let items = of_kind.map(|(k, o)| object_json(&k.1, o)).collect();
        Json::obj(&[
            ("items", Json::Arr(items)),
            ("has_more", Json::Bool(false)),
            ("store_revision", Json::num(state.revision)),
        ])
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64, cut: &AtomicBool) -> Option<Json> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.era != era || from < state.compacted || from > state.revision {
                return None;
            }
            let news = state
                .history
                .iter()
                .filter(|c| c.revision > from && c.kind == kind);
            let events: Vec<Json> = news
                .map(|c| {
                    Json::obj(&[
                        ("object", c.object.clone()),
                        ("removed", Json::Bool(c.removed)),
                    ])
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline || cut.load(Ordering::Relaxed) {
                return Some(Json::obj(&[
                    ("events", Json::Arr(events)),
                    ("store_revision", Json::num(state.revision)),
                ]));
            }
            let wait = (deadline - now).min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Json,
}

/// Reads an HTTP request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|h| h.0 == "content-length");
    let length: usize = length.and_then(|h| h.1.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

/// Writes a response, with the era of the store if it is the store's.
pub fn write_response(stream: &mut TcpStream, code: u16, body: &Json, era: Option<u64>) -> bool {
    let text = if code == 200 || code == 409 {
        body.text()
    } else {
        String::new()
    };
    let era = era.map_or(String::new(), |era| format!("Store-Era: {era}\r\n"));
    let head = format!(
        "HTTP/1.1 {code} X\r\n{era}content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        text.len()
    );
    stream.write_all((head + &text).as_bytes()).is_ok()
}

/// One daemon's way to the store. While it is cut, connections are refused.
pub struct Path {
    pub addr: SocketAddr,
    cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Path {
    pub fn start(store: &Arc<Store>) -> Arc<Path> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let path = Arc::new(Path {
            addr: listener.local_addr().expect("an address"),
            cut: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let (store, result) = (store.clone(), path.clone());
        std::thread::spawn(move || path.accept(listener, &store));
        result
    }

    /// Cuts the daemon off (`core_cut` with `refuse`), or heals that.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
        if cut {
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn accept(self: Arc<Path>, listener: TcpListener, store: &Arc<Store>) {
        let mut listener = Some(listener);
        loop {
            let is_cut = self.cut.load(Ordering::Relaxed);
            match (&listener, is_cut) {
                (Some(_), true) => listener = None,
                (None, false) => listener = TcpListener::bind(self.addr).ok(),
                _ => {}
            }
            let Some(open) = &listener else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            open.set_nonblocking(true).expect("non-blocking");
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.streams.lock().unwrap().push(copy);
                    }
                    let (path, store) = (self.clone(), store.clone());
                    std::thread::spawn(move || path.serve(stream, &store));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream, store: &Store) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            // An answer of the store takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            let (code, body) = self.answer(store, &request);
            if self.cut.load(Ordering::Relaxed)
                || !write_response(&mut out, code, &body, Some(store.era()))
            {
                return;
            }
        }
    }

    fn answer(&self, store: &Store, request: &Request) -> (u16, Json) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let mut parts = path.split('/').skip(3);
        let kind = parts.next().unwrap_or("");
        let name = parts.next();
        let field = |n: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|p| p.0 == n).map(|p| p.1.to_owned())
        };
        let number = |n: &str| field(n).and_then(|v| v.parse::<u64>().ok());
        let spec = request.body.get("spec");
        let meta = request.body.get("meta");
        match (request.method.as_str(), name) {
            ("GET", Some(name)) => store
                .get(kind, name)
                .map_or((404, Json::Null), |o| (200, o)),
            ("GET", None) => match number("watch") {
                Some(from) => store
                    .watch(kind, from, number("wait_ms").unwrap_or(0), &self.cut)
                    .map_or((410, Json::Null), |changes| (200, changes)),
                None => (200, store.list(kind, &field("after").unwrap_or_default())),
            },
            ("POST", None) => store.put(
                kind,
                meta.get("name").as_str().unwrap_or(""),
                spec,
                Some(None),
            ),
            ("PUT", Some(name)) => {
                let revision = meta.get("revision").as_u64().or(number("revision"));
                store.put(kind, name, spec, revision.map(Some))
            }
            ("DELETE", Some(name)) => {
                let found = store.remove(kind, name);
                (if found { 200 } else { 404 }, Json::Null)
            }
            _ => (404, Json::Null),
        }
    }
}
