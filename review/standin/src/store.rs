//! Stand-in of the platform's store: objects by kind and name, lists, watches, conditional writes.
//! It keeps its whole history and answers at once.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
    finalizers: String,
    removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Default)]
pub struct Store {
    /// Answers each call with 503.
    pub is_down: AtomicBool,
    state: Mutex<State>,
    changed: Condvar,
}

fn render(name: &str, o: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{r},\"created\":{r},\"finalizers\":{f},\"deleting\":false}},\"spec\":{s},\"status\":{t}}}",
        r = o.revision, f = o.finalizers, s = o.spec, t = o.status
    )
}

/// The raw text of a member of a JSON object at the top level of `text`.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let key = format!("\"{name}\"");
    let (mut depth, mut i) = (0, 0);
    while i < bytes.len() {
        match bytes[i] {
            b'"' => {
                let end = string_end(bytes, i);
                if depth == 1 && &text[i..end] == key.as_str() {
                    let rest = text[end..].trim_start();
                    if let Some(value) = rest.strip_prefix(':') {
                        let value = value.trim_start();
                        return Some(&value[..value_end(value.as_bytes())]);
                    }
                }
                i = end;
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        i += 1;
    }
    None
}

fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut i = start + 1;
    while i < bytes.len() && bytes[i] != b'"' {
        i += if bytes[i] == b'\\' { 2 } else { 1 };
    }
    i + 1
}

fn value_end(bytes: &[u8]) -> usize {
    let (mut depth, mut i) = (0, 0);
    while i < bytes.len() {
        match bytes[i] {
            b'"' => {
                i = string_end(bytes, i);
                if depth == 0 {
                    return i;
                }
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' if depth == 0 => return i,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return i + 1;
                }
            }
            _ => {}
        }
        i += 1;
    }
    i
}

fn unquote(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

impl Store {
    pub fn start() -> (Arc<Store>, String) {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().revision = 1;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap().to_string();
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, addr)
    }

    /// What the operator or a member writes.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let object = Object {
            revision: state.revision,
            spec: spec.to_owned(),
            status: "{}".to_owned(),
            finalizers: "[]".to_owned(),
            removed: false,
        };
        state.objects.insert((kind.to_owned(), name.to_owned()), object);
        drop(state);
        self.changed.notify_all();
    }

    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Removes an entry that is not written any more.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let revision = state.revision + 1;
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.get_mut(&key).filter(|o| !o.removed) {
            (object.removed, object.revision) = (true, revision);
            state.revision = revision;
        }
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            let mut answer = self.answer(&request.method, &request.target, &request.body);
            if self.is_down.load(Ordering::SeqCst) {
                answer = (503, "{}".to_owned());
            }
            let (status, body) = answer;
            if write_response(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    /// A call that waits for a change is cut off when the store goes down.
    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        if self.is_down.load(Ordering::SeqCst) {
            return (503, "{}".to_owned());
        }
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let arg = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let Some(rest) = path.strip_prefix("/hollyreach/objects/") else {
            return (404, "{}".to_owned());
        };
        let mut parts = rest.split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        match (method, name) {
            ("GET", None) => match arg("watch") {
                Some(from) => {
                    let wait_ms = arg("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(&kind, from.parse().unwrap_or(0), wait_ms)
                }
                None => self.list(&kind, &arg("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind, name.clone())).filter(|o| !o.removed) {
                    Some(object) => (200, render(&name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => self.write(&kind, None, false, body),
            ("PUT", Some(name)) => self.write(&kind, Some(name), is_status, body),
            ("DELETE", Some(name)) => {
                let mut state = self.state.lock().unwrap();
                state.revision += 1;
                let revision = state.revision;
                if let Some(object) = state.objects.get_mut(&(kind, name)) {
                    object.removed = true;
                    object.revision = revision;
                }
                drop(state);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((k, n), o)| k == kind && !o.removed && n.as_str() > after);
        let items: Vec<String> = of_kind.map(|((_, n), o)| render(n, o)).collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"))
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state.objects.iter().filter(|((k, _), o)| k == kind && o.revision > from);
            let events: Vec<String> = newer
                .map(|((_, n), o)| format!("{{\"removed\":{},\"object\":{}}}", o.removed, render(n, o)))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_down.load(Ordering::SeqCst) {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<String>, is_status: bool, body: &str) -> (u16, String) {
        let meta = field(body, "meta").unwrap_or("{}");
        let is_create = name.is_none();
        let name = name.unwrap_or_else(|| unquote(field(meta, "name").unwrap_or("")));
        let wanted: Option<u64> = field(meta, "revision").and_then(|r| r.parse().ok());
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.clone());
        let known = state.objects.get(&key).filter(|o| !o.removed).cloned();
        let conflict = match &known {
            Some(object) => is_create || wanted.is_some_and(|w| w != object.revision),
            None => false,
        };
        if conflict {
            return (409, render(&name, &known.unwrap()));
        }
        if known.is_none() && !is_create {
            return (404, "{}".to_owned());
        }
        let mut object = known.unwrap_or(Object {
            revision: 0,
            spec: "{}".to_owned(),
            status: "{}".to_owned(),
            finalizers: "[]".to_owned(),
            removed: false,
        });
        if is_status {
            object.status = field(body, "status").unwrap_or("{}").to_owned();
        } else {
            object.spec = field(body, "spec").unwrap_or("{}").to_owned();
            object.finalizers = field(meta, "finalizers").unwrap_or("[]").to_owned();
        }
        state.revision += 1;
        object.revision = state.revision;
        let text = render(&name, &object);
        state.objects.insert(key, object);
        drop(state);
        self.changed.notify_all();
        (if is_create { 201 } else { 200 }, text)
    }
}

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: String,
    pub body: String,
}

/// Reads one HTTP request; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&buf[..n]);
    };
    let headers = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let length: usize = headers
        .lines()
        .filter_map(|l| l.split_once(':'))
        .find(|(n, _)| n.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, v)| v.trim().parse().ok())
        .unwrap_or(0);
    while bytes.len() < head_end + length {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&buf[..n]);
    }
    let mut words = headers.split(' ');
    Some(Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        body: String::from_utf8_lossy(&bytes[head_end..head_end + length]).into_owned(),
        headers,
    })
}

pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}
