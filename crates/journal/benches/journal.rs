//! Compares the journal with raw writes of the same number of bytes, and its compaction with the full rewrite
//! that it replaced, in one run on one disk:
//!
//!     cargo bench -p stairshed-journal
//!
//! `BENCH_DIR` is the directory (default: in the target folder), `BENCH_RECOVER_MB` the size of the journal to
//! recover in MB (default 1000), and `BENCH_ONLY` selects one of append, compaction, amplification and recovery.
//! The run takes a few minutes and up to 3 GB.

use bytes::Bytes;
use stairshed_clock::StableTime;
use stairshed_journal::{AcceptedMessage, Durability, FileStorage, Journal, Options};
use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const BODY: usize = 500;

fn folder(name: &str) -> PathBuf {
    let base = std::env::var("BENCH_DIR").map(PathBuf::from);
    let path = base.unwrap_or_else(|_| PathBuf::from(env!("CARGO_TARGET_TMPDIR"))).join(name);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

fn sample_message(n: u64, body: usize) -> Rc<AcceptedMessage> {
    Rc::new(AcceptedMessage {
        id: format!("{n:016x}"),
        class: "payment".to_owned(),
        destination: n % 50,
        key: Some(format!("{n:032x}")),
        accepted_at: StableTime::from_epoch(Duration::from_secs(1_789_999_990)),
        deadline: StableTime::from_epoch(Duration::from_secs(1_790_000_000)),
        body: Bytes::from(vec![n as u8; body]),
        routed: None,
    })
}

fn open(path: &Path, options: Options) -> Journal {
    let files = Arc::new(FileStorage::lock(path).expect("the lock"));
    Journal::open(files, options).expect("it opens").0
}

fn row(what: &str, records: u64, bytes: u64, took: Duration) -> f64 {
    let rate = bytes as f64 / took.as_secs_f64() / 1e6;
    let each = took.as_secs_f64() * 1e6 / records as f64;
    println!("{what:<58} {rate:>9.1} MB/s {:>11.0} records/s {each:>9.2} us each", 1e6 / each);
    rate
}

/// Number of rounds, of which the median is reported: the page cache makes single rounds differ by a factor
/// of two.
const ROUNDS: usize = 5;

struct Append {
    sync: bool,
    batch: u64,
    total: u64,
}

impl Append {
    /// Returns the bytes written and the time taken. Each message is accepted and ended; `batch` messages
    /// share a write.
    fn journal(&self) -> (u64, Duration) {
        let durability = if self.sync { Durability::Machine } else { Durability::Process };
        let path = folder("append");
        let mut journal = open(&path, Options { durability, ..Options::new(2_000_000_000) });
        // Created in advance, so that the measurement excludes it.
        let messages: Vec<_> = (1..=self.total).map(|n| sample_message(n, BODY)).collect();
        let begin = Instant::now();
        for (n, accepted) in (1..=self.total).zip(messages) {
            journal.accept(n, accepted);
            journal.record_end(n);
            if n % self.batch == 0 {
                journal.flush().expect("written");
                if let Some(job) = journal.begin_sync() {
                    journal.finish_sync(job.run()).expect("synced");
                }
                journal.compact(64 * 1024);
                journal.flush().expect("written");
            }
        }
        (journal.usage().written, begin.elapsed())
    }

    /// Writes the same number of bytes, in as many writes, to one file.
    fn raw(&self, bytes: u64) -> Duration {
        let path = folder("raw").join("raw");
        let mut file = File::create(&path).expect("a file");
        let writes = self.total / self.batch;
        // A separate piece for each write: a single piece written repeatedly would stay in the processor's
        // cache.
        let all = vec![7u8; bytes as usize];
        let begin = Instant::now();
        for piece in all.chunks((bytes / writes) as usize) {
            file.write_all(piece).expect("written");
            if self.sync {
                file.sync_data().expect("synced");
            }
        }
        begin.elapsed()
    }

    fn run(&self) {
        let (total, batch) = (self.total, self.batch);
        let kind = if self.sync { "each write synced" } else { "not synced" };
        println!(
            "\nappend: {total} messages of {BODY} bytes, accepted and ended, {batch} per write, {kind}; \
             medians of {ROUNDS} alternating rounds"
        );
        let (mut ours, mut raws, mut written) = (Vec::new(), Vec::new(), 0);
        for _ in 0..ROUNDS {
            let (bytes, took) = self.journal();
            written = bytes;
            ours.push(took);
            raws.push(self.raw(bytes));
        }
        ours.sort();
        raws.sort();
        let rate = row("  this journal", total, written, ours[ROUNDS / 2]);
        let raw = row("  raw writes", total, written, raws[ROUNDS / 2]);
        println!(
            "  share of raw: {:.0} % (raw from {:.0} to {:.0} MB/s)",
            100.0 * rate / raw,
            written as f64 / raws[ROUNDS - 1].as_secs_f64() / 1e6,
            written as f64 / raws[0].as_secs_f64() / 1e6
        );
    }
}

fn quantile(sorted: &[Duration], q: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e3
}

fn pauses(mut all: Vec<Duration>, what: &str) {
    all.sort();
    let (p50, p999, most) = (quantile(&all, 0.5), quantile(&all, 0.999), quantile(&all, 1.0));
    println!(
        "{what:<58} p50 {p50:>8.3} ms  p99.9 {p999:>8.3} ms  longest {most:>9.3} ms  {} turns",
        all.len()
    );
}

/// 100 MB of live messages; each turn accepts one and ends one, until 200 MB have been copied.
fn compaction() {
    println!("\ncompaction: 100 MB live, each turn accepts one message and ends one");
    let path = folder("compact");
    let live = 100_000_000 / (BODY as u64 + 116);
    let mut journal = open(&path, Options::new(400_000_000));
    for n in 1..=live {
        journal.accept(n, sample_message(n, BODY));
        if n % 500 == 0 {
            journal.flush().expect("written");
        }
    }
    journal.flush().expect("written");
    let (mut turns, mut n) = (Vec::new(), live);
    let before = journal.usage();
    while journal.usage().copied < before.copied + 200_000_000 {
        // A third of the messages are long-lived: two of three turns end an old message.
        let begin = Instant::now();
        n += 1;
        journal.accept(n, sample_message(n, BODY));
        let old = n - live;
        journal.record_end(if old.is_multiple_of(3) { n } else { old });
        journal.flush().expect("written");
        journal.compact(64 * 1024);
        journal.flush().expect("written");
        turns.push(begin.elapsed());
    }
    pauses(turns, "  a turn of this journal, during compaction");
    let usage = journal.usage();
    println!("  {:.0} MB copied, {:.0} MB used", usage.copied as f64 / 1e6, usage.used as f64 / 1e6);
    // The earlier method: all live messages written to a new file in one call, which then replaces the old
    // one.
    let mut rewrites = Vec::new();
    for _ in 0..3 {
        let begin = Instant::now();
        let mut bytes = Vec::new();
        for (message, m) in journal.live() {
            let at = bytes.len();
            bytes.extend_from_slice(&[0; 8]);
            bytes.extend_from_slice(&message.to_le_bytes());
            bytes.extend_from_slice(m.accepted.id.as_bytes());
            bytes.extend_from_slice(m.accepted.class.as_bytes());
            bytes.extend_from_slice(m.accepted.key.as_deref().unwrap_or_default().as_bytes());
            bytes.extend_from_slice(&m.accepted.body);
            let sum = crc32fast::hash(&bytes[at + 8..]);
            bytes[at..at + 4].copy_from_slice(&sum.to_le_bytes());
        }
        let mut file = File::create(path.join("whole.next")).expect("a file");
        file.write_all(&bytes).expect("written");
        fs::rename(path.join("whole.next"), path.join("whole")).expect("renamed");
        rewrites.push(begin.elapsed());
    }
    pauses(rewrites, "  the full rewrite that compaction replaced");
}

fn recovery() {
    let mb: u64 = std::env::var("BENCH_RECOVER_MB").ok().and_then(|n| n.parse().ok()).unwrap_or(1000);
    println!("\nrecovery: {mb} MB in segments, a tenth of the messages live");
    let path = folder("recover");
    let options = Options { max_live_fraction: 0.9, ..Options::new(mb * 4_000_000) };
    let mut journal = open(&path, options.clone());
    let mut n = 0;
    while journal.usage().written < mb * 1_000_000 {
        n += 1;
        journal.accept(n, sample_message(n, 4000));
        if n > 20 && n % 10 != 0 {
            journal.record_end(n - 20);
        }
        if n % 200 == 0 {
            journal.flush().expect("written");
        }
    }
    journal.flush().expect("written");
    drop(journal);
    let read = || {
        let (mut bytes, mut buffer) = (0, vec![0; 4 << 20]);
        for entry in fs::read_dir(&path).expect("the folder").flatten() {
            let mut file = File::open(entry.path()).expect("a file");
            loop {
                let n = file.read(&mut buffer).expect("read");
                if n == 0 {
                    break;
                }
                bytes += n as u64;
            }
        }
        bytes
    };
    for cold in [true, false] {
        // Once synced, the files can be dropped from the page cache.
        let forget = || {
            for entry in fs::read_dir(&path).expect("the folder").flatten().filter(|_| cold) {
                let file = File::open(entry.path()).expect("a file");
                file.sync_all().expect("synced");
                let advice = rustix::fs::Advice::DontNeed;
                rustix::fs::fadvise(&file, 0, None, advice).expect("advised");
            }
        };
        let from = if cold { "from the device" } else { "from memory" };
        forget();
        let begin = Instant::now();
        let bytes = read();
        let raw = row(&format!("  reading the files {from}"), n, bytes, begin.elapsed());
        forget();
        let begin = Instant::now();
        let journal = open(&path, options.clone());
        let rate = row(&format!("  recovery {from}, {} live", journal.len()), n, bytes, begin.elapsed());
        println!("  share of reading: {:.0} %", 100.0 * rate / raw);
    }
}

/// Messages end at random, the worst case for a log that compacts its oldest segment first.
fn amplification() {
    println!("\nwrite amplification: 40 MB capacity, messages of {BODY} bytes end at random");
    for share in [0.5, 0.9] {
        let path = folder("amplify");
        let mut journal = open(
            &path,
            Options {
                max_live_fraction: 0.99,
                reserved_attempts: 0,
                segment_bytes: Some(300_000),
                ..Options::new(40_000_000)
            },
        );
        let wanted = (40_000_000.0 * share) as u64;
        let (mut live, mut n, mut random) = (Vec::new(), 0u64, 88172645463325252u64);
        let mut base = None;
        while n < 400_000 {
            n += 1;
            let new = sample_message(n, BODY);
            if journal.usage().live >= wanted || journal.can_accept(&new).is_err() {
                // The journal is full: from here on the load is steady.
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                let at = (random % live.len() as u64) as usize;
                journal.record_end(live.swap_remove(at));
                base.get_or_insert_with(|| journal.usage());
            }
            if journal.can_accept(&new).is_ok() {
                journal.accept(n, new);
                live.push(n);
            }
            journal.flush().expect("written");
            journal.compact(64 * 1024);
            journal.flush().expect("written");
        }
        let (from, to) = (base.expect("it fills"), journal.usage());
        let (all, copied) = (to.written - from.written, to.copied - from.copied);
        let live = 100.0 * to.live as f64 / to.room as f64;
        println!(
            "  {live:.1} % of the capacity live: write amplification {:.2}",
            all as f64 / (all - copied) as f64
        );
    }
}

fn main() {
    let at = folder("probe");
    let probe = OpenOptions::new().create(true).truncate(true).write(true).open(at.join("probe"));
    drop(probe.expect("the folder can be written"));
    println!("in {}", at.parent().unwrap_or(&at).display());
    let only = std::env::var("BENCH_ONLY").ok();
    let asked = |what: &str| only.as_deref().is_none_or(|only| only == what);
    if asked("append") {
        Append { sync: false, batch: 16, total: 400_000 }.run();
        Append { sync: true, batch: 1, total: 2_000 }.run();
        Append { sync: true, batch: 64, total: 64_000 }.run();
    }
    if asked("compaction") {
        compaction();
    }
    if asked("amplification") {
        amplification();
    }
    if asked("recovery") {
        recovery();
    }
}
