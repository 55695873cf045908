//! The collector against a naive proxy: whatever an upstream has prepared already, the caller gets
//! the same answers as from an upstream of its own.

// Properties take generated values, which are owned.
#![allow(clippy::needless_pass_by_value)]

use std::collections::HashSet;

use bytes::BytesMut;
use pg::{Frame, Progress, encode, frames, put_frame};
use property::check_property;
use quickcheck::{Arbitrary, Gen};
use schema::{Batch, ByteBuf, MessageKind, Prepare, Step};

/// Statements that the batches of this test use.
const STATEMENTS: u16 = 3;
const LIMIT: usize = 1 << 20;

/// A batch and the statements that the upstream knows.
#[derive(Clone, Debug)]
struct Case {
    steps: Vec<(MessageKind, u16)>,
    known: Vec<u16>,
    /// The step at which the upstream fails.
    fails: Option<usize>,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let acts = [
            MessageKind::Parse,
            MessageKind::Bind,
            MessageKind::DescribeStatement,
            MessageKind::DescribePortal,
            MessageKind::Execute,
            MessageKind::CloseStatement,
            MessageKind::ClosePortal,
        ];
        let count = usize::arbitrary(g) % 8;
        let steps: Vec<_> = (0..count)
            .map(|_| {
                (
                    *g.choose(&acts).expect("some"),
                    u16::arbitrary(g) % STATEMENTS,
                )
            })
            .collect();
        let known = (0..STATEMENTS).filter(|_| bool::arbitrary(g)).collect();
        let fails = if bool::arbitrary(g) {
            None
        } else {
            Some(usize::arbitrary(g) % 8)
        };
        Case {
            steps,
            known,
            fails,
        }
    }
}

fn prepares() -> Vec<Prepare> {
    (0..STATEMENTS)
        .map(|i| Prepare {
            name: format!("h{i}").into(),
            sql: format!("select {i}").into(),
            oids: Vec::new(),
        })
        .collect()
}

fn batch(case: &Case) -> Batch {
    let mut batch = Batch {
        simple: false,
        sql: "".into(),
        body: ByteBuf::new(),
        steps: Vec::new(),
        prepares: prepares(),
    };
    for (act, prepare) in &case.steps {
        let tag = match act {
            MessageKind::Bind => b'B',
            MessageKind::DescribeStatement => b'D',
            MessageKind::DescribePortal => b'd',
            MessageKind::Execute => b'E',
            MessageKind::ClosePortal => b'C',
            MessageKind::Parse | MessageKind::CloseStatement => 0,
        };
        let mut raw = BytesMut::new();
        if tag != 0 {
            put_frame(&mut raw, tag, &[u8::try_from(*prepare).expect("few")]);
        }
        batch.body.extend_from_slice(&raw);
        batch.steps.push(Step {
            act: *act,
            prepare: *prepare,
            len: u32::try_from(raw.len()).expect("short"),
        });
    }
    batch
}

/// What an upstream answers to one message.
fn reply(out: &mut BytesMut, tag: u8) {
    match tag {
        b'P' => put_frame(out, b'1', &[]),
        b'B' => put_frame(out, b'2', &[]),
        b'D' => {
            put_frame(out, b't', &[0, 0]);
            put_frame(out, b'n', &[]);
        }
        b'd' => put_frame(out, b'n', &[]),
        b'E' => {
            put_frame(out, b'D', b"row");
            put_frame(out, b'C', b"SELECT 1\0");
        }
        _ => put_frame(out, b'3', &[]),
    }
}

/// The answers of an upstream to what the encoder sent; it fails at the caller's step `fails`.
fn upstream(sent: &[u8], fails: Option<usize>, steps: &[(MessageKind, u16)]) -> BytesMut {
    let mut out = BytesMut::new();
    // Parse and Close of statements may be answered before the upstream, so they never fail here.
    let fallible: Vec<usize> = (0..steps.len())
        .filter(|i| {
            !matches!(
                steps[*i].0,
                MessageKind::Parse | MessageKind::CloseStatement
            )
        })
        .collect();
    let mut seen = 0;
    for frame in frames(sent) {
        match frame.tag {
            b'S' => break,
            b'P' => reply(&mut out, b'P'),
            tag => {
                if fails.is_some() && fallible.get(seen).copied() == fails {
                    put_frame(&mut out, b'E', b"error");
                    break;
                }
                seen += 1;
                reply(&mut out, tag);
            }
        }
    }
    put_frame(&mut out, b'Z', b"I");
    out
}

/// What a caller gets from an upstream of its own: every message answered in order.
fn naive(case: &Case) -> BytesMut {
    let mut out = BytesMut::new();
    for (i, (act, _)) in case.steps.iter().enumerate() {
        let fallible = !matches!(act, MessageKind::Parse | MessageKind::CloseStatement);
        if fallible && case.fails == Some(i) {
            put_frame(&mut out, b'E', b"error");
            break;
        }
        let tag = match act {
            MessageKind::Parse => b'P',
            MessageKind::Bind => b'B',
            MessageKind::DescribeStatement => b'D',
            MessageKind::DescribePortal => b'd',
            MessageKind::Execute => b'E',
            MessageKind::CloseStatement | MessageKind::ClosePortal => b'C',
        };
        reply(&mut out, tag);
    }
    out
}

fn collected(case: &Case) -> (BytesMut, Progress) {
    let known: HashSet<Box<str>> = case.known.iter().map(|i| format!("h{i}").into()).collect();
    let mut sent = BytesMut::new();
    let mut collector = encode(&batch(case), &known, LIMIT, &mut sent);
    let mut last = Progress::More;
    for frame in frames(&upstream(&sent, case.fails, &case.steps)) {
        last = collector.take(&frame);
        if last != Progress::More {
            break;
        }
    }
    (collector.out, last)
}

/// Differential: the collector's answers are the naive ones, and the batch ends.
#[test]
fn answers_are_the_naive_ones() {
    fn property(case: Case) -> bool {
        let (out, last) = collected(&case);
        out == naive(&case) && last == Progress::Ready(b'I')
    }
    check_property(property as fn(Case) -> bool);
}

/// Answers of another request are never taken for the batch's own when their shape differs.
#[test]
fn foreign_answers_are_noticed() {
    fn property(case: Case) -> bool {
        let known = (0..STATEMENTS).map(|i| format!("h{i}").into()).collect();
        let mut sent = BytesMut::new();
        let mut collector = encode(&batch(&case), &known, LIMIT, &mut sent);
        let waits = case
            .steps
            .iter()
            .any(|(act, _)| !matches!(act, MessageKind::Parse | MessageKind::CloseStatement));
        let mut late = BytesMut::new();
        put_frame(&mut late, b'Z', b"I");
        let progress = collector.take(&Frame {
            tag: b'Z',
            raw: late.freeze(),
        });
        (progress == Progress::Crossed) == waits
    }
    check_property(property as fn(Case) -> bool);
}
