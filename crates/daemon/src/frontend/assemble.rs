//! Assembles a caller's messages into batches; a batch ends where the caller waits for an answer.

use std::collections::HashMap;

use pg::{Caller, Frame, read_parse};
use schema::{Batch, ByteBuf, MessageKind, Prepare, Reason, Step};

/// `Step::prepare` of a step that refers to no prepared statement, or to an unknown one.
const NO_STATEMENT: u16 = u16::MAX;
/// Maximum number of messages in one batch.
const MAX_BATCH_STEPS: usize = 10_000;
/// Maximum number of prepared statements in one session.
const MAX_PREPARED_STATEMENTS: usize = 2_000;

/// How a batch ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BatchEnd {
    /// The caller sent `Sync` or a simple query and waits for `ReadyForQuery`.
    Sync,
    /// The caller sent `Flush`: it waits for the answers so far and will continue the batch.
    Flush,
}

/// One request of a caller.
pub struct Request {
    pub batch: Batch,
    pub end: BatchEnd,
    /// SQL of the statements that the batch executes, `?` for an unknown one; empty when it only
    /// prepares or describes.
    pub texts: Vec<Box<str>>,
}

/// Prepared statements and portals of a session, keyed by the names that the caller gave them.
#[derive(Default)]
pub struct StatementNames {
    statements: HashMap<Box<str>, Prepare>,
    /// Statement name of each portal bound in the current transaction.
    portals: HashMap<Box<str>, Box<str>>,
}

impl StatementNames {
    /// Drops all statements and portals, as `DISCARD ALL` does.
    pub fn clear(&mut self) {
        self.statements.clear();
        self.portals.clear();
    }

    /// Drops the portals, which do not outlive their transaction.
    pub fn end_transaction(&mut self) {
        self.portals.clear();
    }
}

/// Reads messages until a request is complete; `None` when the caller closed or terminated the
/// session between requests.
///
/// # Errors
/// `TooLarge` above `max_bytes`, `Protocol` for malformed or unexpected messages; either ends the
/// session.
pub async fn next_request(
    caller: &mut Caller,
    names: &mut StatementNames,
    max_bytes: u64,
) -> Result<Option<Request>, Reason> {
    let mut builder = RequestBuilder::default();
    loop {
        let Some(frame) = caller.read_frame().await? else {
            return if builder.batch.steps.is_empty() {
                Ok(None)
            } else {
                Err(Reason::Protocol)
            };
        };
        if builder.batch.body.len() + frame.raw.len()
            > usize::try_from(max_bytes).unwrap_or(usize::MAX)
        {
            return Err(Reason::TooLarge);
        }
        match frame.tag {
            b'Q' if builder.batch.steps.is_empty() => {
                return builder.simple_query(&frame).map(Some);
            }
            b'X' => return Ok(None),
            b'S' => return Ok(Some(builder.finish(BatchEnd::Sync))),
            b'H' if builder.batch.steps.is_empty() => {}
            b'H' => return Ok(Some(builder.finish(BatchEnd::Flush))),
            b'P' | b'B' | b'D' | b'E' | b'C' => builder.add_message(&frame, names)?,
            // COPY data outside a copy is ignored: PostgreSQL does the same after a failed COPY.
            b'd' | b'c' | b'f' => {}
            _ => return Err(Reason::Protocol),
        }
    }
}

/// Builds one request from the caller's messages.
struct RequestBuilder {
    batch: Batch,
    texts: Vec<Box<str>>,
    /// Index of each statement in `batch.prepares`, by its name on the upstream.
    index_by_name: HashMap<Box<str>, u16>,
}

impl Default for RequestBuilder {
    fn default() -> RequestBuilder {
        let batch = Batch {
            simple: false,
            sql: "".into(),
            body: ByteBuf::new(),
            steps: Vec::new(),
            prepares: Vec::new(),
        };
        RequestBuilder {
            batch,
            texts: Vec::new(),
            index_by_name: HashMap::new(),
        }
    }
}

/// Takes a NUL-terminated string from the front of `body`.
fn cstr<'a>(body: &mut &'a [u8]) -> Result<&'a str, Reason> {
    let end = body.iter().position(|b| *b == 0).ok_or(Reason::Protocol)?;
    let text = std::str::from_utf8(&body[..end]).map_err(|_| Reason::Protocol)?;
    *body = &body[end + 1..];
    Ok(text)
}

impl RequestBuilder {
    fn simple_query(mut self, frame: &Frame) -> Result<Request, Reason> {
        let text = cstr(&mut frame.body())?;
        self.batch.simple = true;
        self.batch.sql = text.into();
        Ok(Request {
            batch: self.batch,
            end: BatchEnd::Sync,
            texts: vec![text.into()],
        })
    }

    fn finish(self, end: BatchEnd) -> Request {
        Request {
            batch: self.batch,
            end,
            texts: self.texts,
        }
    }

    fn push_step(&mut self, act: MessageKind, prepare: u16, raw: &[u8]) {
        let len = u32::try_from(raw.len()).expect("frames are limited far below 4 GiB");
        self.batch.body.extend_from_slice(raw);
        self.batch.steps.push(Step { act, prepare, len });
    }

    fn add_message(&mut self, frame: &Frame, names: &mut StatementNames) -> Result<(), Reason> {
        if self.batch.steps.len() >= MAX_BATCH_STEPS {
            return Err(Reason::TooLarge);
        }
        let mut body = frame.body();
        match frame.tag {
            b'P' => self.add_parse(frame, names)?,
            b'B' => {
                let portal = cstr(&mut body)?;
                let statement = cstr(&mut body)?;
                names.portals.insert(portal.into(), statement.into());
                let index = self.prepare_index(statement, names);
                let name = self.upstream_name(index);
                let raw = encode_frame(
                    b'B',
                    &[portal.as_bytes(), &[0], name.as_bytes(), &[0], body],
                );
                self.push_step(MessageKind::Bind, index, &raw);
            }
            b'D' | b'C' => {
                let (kind, rest) = body.split_first().ok_or(Reason::Protocol)?;
                body = rest;
                let name = cstr(&mut body)?;
                self.add_describe_or_close(frame, *kind, name, names)?;
            }
            _ => {
                let portal = cstr(&mut body)?;
                let statement = names
                    .portals
                    .get(portal)
                    .and_then(|name| names.statements.get(name));
                self.texts
                    .push(statement.map_or_else(|| "?".into(), |prepare| prepare.sql.clone()));
                self.push_step(MessageKind::Execute, NO_STATEMENT, &frame.raw);
            }
        }
        Ok(())
    }

    fn add_describe_or_close(
        &mut self,
        frame: &Frame,
        kind: u8,
        name: &str,
        names: &mut StatementNames,
    ) -> Result<(), Reason> {
        match (frame.tag, kind) {
            (b'D', b'S') => {
                let index = self.prepare_index(name, names);
                let upstream = self.upstream_name(index);
                let raw = encode_frame(b'D', &[b"S", upstream.as_bytes(), &[0]]);
                self.push_step(MessageKind::DescribeStatement, index, &raw);
            }
            (b'D', b'P') => self.push_step(MessageKind::DescribePortal, NO_STATEMENT, &frame.raw),
            (b'C', b'S') => {
                names.statements.remove(name);
                self.push_step(MessageKind::CloseStatement, NO_STATEMENT, &[]);
            }
            (b'C', b'P') => self.push_step(MessageKind::ClosePortal, NO_STATEMENT, &frame.raw),
            _ => return Err(Reason::Protocol),
        }
        Ok(())
    }

    fn add_parse(&mut self, frame: &Frame, names: &mut StatementNames) -> Result<(), Reason> {
        let (name, prepare) = read_parse(frame).ok_or(Reason::Protocol)?;
        if names.statements.len() >= MAX_PREPARED_STATEMENTS {
            return Err(Reason::TooLarge);
        }
        names.statements.insert(name.clone(), prepare);
        let index = self.prepare_index(&name, names);
        self.push_step(MessageKind::Parse, index, &[]);
        Ok(())
    }

    /// Index in `batch.prepares` of the statement with the caller's `name`, which is added on first
    /// use; `NO_STATEMENT` if the session has no such statement.
    fn prepare_index(&mut self, name: &str, names: &StatementNames) -> u16 {
        let Some(prepare) = names.statements.get(name) else {
            return NO_STATEMENT;
        };
        if let Some(index) = self.index_by_name.get(&prepare.name) {
            return *index;
        }
        let index = u16::try_from(self.batch.prepares.len()).expect("batches are limited");
        self.batch.prepares.push(prepare.clone());
        self.index_by_name.insert(prepare.name.clone(), index);
        index
    }

    /// Name on the upstream of the statement with this index.
    ///
    /// `NO_STATEMENT` gives a name that no upstream has, so that the upstream reports the error.
    fn upstream_name(&self, index: u16) -> Box<str> {
        self.batch
            .prepares
            .get(usize::from(index))
            .map_or_else(|| "unknown".into(), |prepare| prepare.name.clone())
    }
}

fn encode_frame(tag: u8, parts: &[&[u8]]) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    pg::put_frame(&mut out, tag, &parts.concat());
    out.to_vec()
}
