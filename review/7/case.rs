//! A replica stops in the middle of an event, and its HTTP server ends the body as usual.

#[path = "../lib-2/engine.rs"]
mod engine;
#[path = "../lib-2/rig.rs"]
mod rig;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use engine::{Engine, StreamEnd};
use rig::{ClientCall, Entry, Rig};

const EVENTS: u64 = 10;
const STREAMS: usize = 480;
/// The replica spoils one of so many of its answers: 2 in 100, as `garble` does.
const SPOILED_EVERY: u64 = 50;

fn main() {
    let rig = Rig::new("review/7");
    let code = run(&rig);
    rig::end_all();
    rig.remove_dir();
    std::process::exit(code);
}

fn run(rig: &Rig) -> i32 {
    let _store = rig.start_store();
    let event_time = Duration::from_millis(20);
    let start = |number| Engine::start(rig, number, &["m0", "m1", "m2"], EVENTS, event_time);
    let replicas: Vec<_> = (1..=4).map(start).collect();
    // Half of them are faulty.
    for faulty in replicas.iter().take(2).filter(|_| rig.has_trouble) {
        let answers = AtomicU64::new(0);
        faulty.set_end(move |_| {
            match answers.fetch_add(1, Ordering::Relaxed) % SPOILED_EVERY == SPOILED_EVERY - 1 {
                true => StreamEnd::InsideEvent(EVENTS / 2),
                false => StreamEnd::Whole,
            }
        });
    }
    if !rig.put("op/config", &rig::config(7, 600_000, 700_000, 6)) {
        rig.give_up("the configuration cannot be written");
    }
    let entries: Vec<Entry> = (1..=2).map(|number| Entry::new(rig, number)).collect();
    let _processes: Vec<_> = entries.iter().map(|entry| rig.start_entry(entry)).collect();
    entries.iter().for_each(|entry| rig.wait_ready(entry));
    // Traffic starts ten seconds after the machines do.
    std::thread::sleep(Duration::from_secs(10));

    let broken = Mutex::new(0);
    std::thread::scope(|scope| {
        for number in 0..STREAMS {
            let (entry, broken) = (&entries[number % 2], &broken);
            scope.spawn(move || {
                if !ask(rig, entry, number) {
                    *broken.lock().unwrap_or_else(|it| it.into_inner()) += 1;
                }
            });
            std::thread::sleep(Duration::from_millis(40));
        }
    });
    let broken = broken.into_inner().unwrap_or_else(|it| it.into_inner());
    rig.record.line(format!("{broken} of {STREAMS} streams ended as complete before their last piece"));
    rig::verdict(rig, "ORDER", broken > 0)
}

/// Asks for a stream; returns `false` if it ends as complete before its last piece.
fn ask(rig: &Rig, entry: &Entry, number: usize) -> bool {
    // Every third stream runs at most once; the others may be resumed.
    let path = if number % 3 == 0 { "/season/2f" } else { "/chat/2f" };
    let call = ClientCall {
        model: Some(format!("m{}", number % 3)),
        tokens: Some((800, 60)),
        prefix: Some(format!("{:x}c1e07a2:400,{number:x}d3f06:400", number % 13 + 1)),
        body: b"a question".to_vec(),
        ..ClientCall::new(rig::new_id("stream"), "POST", path)
    };
    rig.record.line(format!("client sends {} to {}", call.id, entry.name));
    let answer = rig::call(entry.front, &call, Duration::from_secs(15));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let pieces = text.matches("\n\n").count() as u64;
    let last = text.rsplit("\n\n").next().unwrap_or("");
    let describe = answer.describe();
    rig.record.line(format!("client got {}: {describe}, whole events={pieces}, rest={last:?}", call.id));
    !(answer.status == 200 && answer.is_whole && pieces < EVENTS)
}
