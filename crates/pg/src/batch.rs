//! Encodes a batch of messages for an upstream and collects the answers that belong to it.

use std::collections::HashSet;

use bytes::BytesMut;
use postgres_protocol::message::frontend;
use schema::{Batch, MessageKind, Step};

use crate::frame::{Frame, put_frame};

/// A step of a batch whose answer is outstanding.
#[derive(Clone, Copy, Debug)]
struct Expected {
    kind: MessageKind,
    /// Whether the step is answered without the upstream: the message is not sent, since the
    /// upstream has already prepared the statement or keeps it.
    local: bool,
    /// Index in `Batch::prepares`, with `HIDDEN_PARSE` set for an answer that is not passed on.
    prepare: u16,
}

/// Matches the frames of an upstream with the steps of one batch, in order.
pub struct Collector {
    expected: std::collections::VecDeque<Expected>,
    /// Whether the batch is a simple query, whose answers are passed on without matching.
    simple: bool,
    /// Whether the upstream answered with an error.
    failed: bool,
    /// The frames to pass on to the caller.
    pub out: BytesMut,
    /// Indices in `Batch::prepares` of the statements that the upstream has newly prepared.
    pub prepared: Vec<u16>,
    /// Command tag of the last `CommandComplete`.
    pub tag: Box<str>,
    max_answer_bytes: usize,
}

/// Appends the messages of a batch to `out`, without a Parse for statements that the upstream has
/// already prepared (`known`); returns the collector of its answers, which refuses an answer above
/// `max_answer_bytes`.
pub fn encode_batch(
    batch: &Batch,
    known: &HashSet<Box<str>>,
    max_answer_bytes: usize,
    out: &mut BytesMut,
) -> Collector {
    let mut collector = Collector {
        expected: std::collections::VecDeque::new(),
        simple: batch.simple,
        failed: false,
        out: BytesMut::new(),
        prepared: Vec::new(),
        tag: "".into(),
        max_answer_bytes,
    };
    if batch.simple {
        frontend::query(&batch.sql, out).expect("the text has no zero byte");
        return collector;
    }
    let mut sent: HashSet<u16> = HashSet::new();
    let mut offset = 0;
    for step in &batch.steps {
        let end = offset + step.len as usize;
        let raw = batch.body.get(offset..end).unwrap_or_default();
        offset = end;
        let parse_sent = needs_statement(*step)
            && encode_parse_if_missing(batch, step.prepare, known, &mut sent, out);
        if parse_sent && step.act != MessageKind::Parse {
            // The caller sent its own Parse in an earlier batch, so it expects no answer to this
            // one.
            let prepare = step.prepare | HIDDEN_PARSE;
            collector.expected.push_back(Expected {
                kind: MessageKind::Parse,
                local: false,
                prepare,
            });
        }
        let local = match step.act {
            MessageKind::Parse => !parse_sent,
            MessageKind::CloseStatement => true,
            _ => false,
        };
        out.extend_from_slice(raw);
        collector.expected.push_back(Expected {
            kind: step.act,
            local,
            prepare: step.prepare,
        });
    }
    frontend::sync(out);
    collector
}

/// Flag in `Expected::prepare` for a Parse whose answer is not passed on to the caller.
const HIDDEN_PARSE: u16 = 1 << 15;

fn needs_statement(step: Step) -> bool {
    matches!(
        step.act,
        MessageKind::Parse | MessageKind::Bind | MessageKind::DescribeStatement
    )
}

/// Appends a Parse unless the upstream has the statement; returns whether it did.
fn encode_parse_if_missing(
    batch: &Batch,
    index: u16,
    known: &HashSet<Box<str>>,
    sent: &mut HashSet<u16>,
    out: &mut BytesMut,
) -> bool {
    let Some(prepare) = batch.prepares.get(usize::from(index)) else {
        return false;
    };
    if known.contains(&prepare.name) || !sent.insert(index) {
        return false;
    }
    let oids = prepare.oids.iter().copied();
    frontend::parse(&prepare.name, &prepare.sql, oids, out).expect("the text has no zero byte");
    true
}

/// State of a batch after a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// More frames are expected.
    More,
    /// The batch is complete; carries the transaction status.
    Ready(u8),
    /// The frame is not one that this batch can be answered with next, so it may belong to another
    /// request.
    Crossed,
    /// The answer exceeds the size limit.
    TooLarge,
}

impl Collector {
    /// Answers the outstanding steps up to the first one that needs the upstream.
    fn answer_local(&mut self) {
        while let Some(step) = self.expected.front().copied() {
            if !step.local {
                return;
            }
            let tag = if step.kind == MessageKind::Parse {
                b'1'
            } else {
                b'3'
            };
            put_frame(&mut self.out, tag, &[]);
            self.expected.pop_front();
        }
    }

    /// Consumes one frame of the upstream.
    pub fn take(&mut self, frame: &Frame) -> Progress {
        if self.out.len() + frame.raw.len() > self.max_answer_bytes {
            return Progress::TooLarge;
        }
        match frame.tag {
            b'Z' => return self.ready(frame),
            // A notification belongs to no batch.
            b'A' => return Progress::More,
            b'N' | b'S' => {
                self.out.extend_from_slice(&frame.raw);
                return Progress::More;
            }
            b'E' => {
                self.answer_local();
                self.failed = true;
                self.expected.clear();
                self.out.extend_from_slice(&frame.raw);
                return Progress::More;
            }
            b'C' => self.record_tag(frame),
            _ => {}
        }
        if self.simple {
            self.out.extend_from_slice(&frame.raw);
            return Progress::More;
        }
        self.answer_local();
        self.match_step(frame)
    }

    fn ready(&mut self, frame: &Frame) -> Progress {
        self.answer_local();
        let status = frame.body().first().copied().unwrap_or(0);
        if !self.expected.is_empty() || !matches!(status, b'I' | b'T' | b'E') {
            return Progress::Crossed;
        }
        Progress::Ready(status)
    }

    fn record_tag(&mut self, frame: &Frame) {
        let body = frame.body();
        let text = body.strip_suffix(&[0]).unwrap_or(body);
        self.tag = String::from_utf8_lossy(text).into();
    }

    /// Matches a frame with the first outstanding step.
    fn match_step(&mut self, frame: &Frame) -> Progress {
        if self.failed {
            return Progress::Crossed;
        }
        let Some(step) = self.expected.front().copied() else {
            return Progress::Crossed;
        };
        let (is_expected, is_last) = match step.kind {
            MessageKind::Parse => (frame.tag == b'1', true),
            MessageKind::Bind => (frame.tag == b'2', true),
            MessageKind::DescribeStatement => {
                (matches!(frame.tag, b't' | b'T' | b'n'), frame.tag != b't')
            }
            MessageKind::DescribePortal => (matches!(frame.tag, b'T' | b'n'), true),
            MessageKind::Execute => (
                matches!(frame.tag, b'D' | b'C' | b'I' | b's'),
                frame.tag != b'D',
            ),
            MessageKind::CloseStatement | MessageKind::ClosePortal => (frame.tag == b'3', true),
        };
        if !is_expected {
            return Progress::Crossed;
        }
        if is_last {
            self.expected.pop_front();
        }
        if step.kind == MessageKind::Parse {
            self.prepared.push(step.prepare & !HIDDEN_PARSE);
        }
        if step.kind != MessageKind::Parse || step.prepare & HIDDEN_PARSE == 0 {
            self.out.extend_from_slice(&frame.raw);
        }
        Progress::More
    }

    /// Whether the upstream answered with an error.
    pub fn failed(&self) -> bool {
        self.failed
    }
}
