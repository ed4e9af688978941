use super::*;
use std::sync::atomic::{AtomicUsize, Ordering};

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name =
            format!("stairshed-journal-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn size(&self) -> u64 {
        let files = fs::read_dir(&self.0).expect("the folder").flatten();
        files.filter_map(|f| f.metadata().ok()).map(|m| m.len().next_multiple_of(512)).sum()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn letter(id: &str, body: usize) -> Rc<Letter> {
    Rc::new(Letter {
        id: id.to_owned(),
        class: "notice".to_owned(),
        destination: 7,
        key: body.is_multiple_of(2).then(|| format!("k-{id}")),
        until: Duration::from_micros(1_790_000_000_000_001),
        body: Bytes::from(vec![b'x'; body]),
    })
}

fn attempt(host: &str) -> Attempt {
    let sent = Duration::from_micros(1_790_000_000_000_002);
    Attempt { host: host.to_owned(), zone: "a".to_owned(), sent, may_have_run: true }
}

type State = Vec<(u64, Letter, Vec<Attempt>, Option<Verdict>)>;

/// What is live, in a form that can be compared.
fn state(journal: &Journal) -> State {
    let of = |(n, m): (&u64, &Live)| (*n, (*m.letter).clone(), m.attempts.clone(), m.verdict);
    journal.live().iter().map(of).collect()
}

/// Each kind of record once, each flushed by itself; the state after each, with the file's length.
fn written(folder: &Folder) -> Vec<(usize, State)> {
    let (mut j, _) = Journal::open(&folder.0, 3_000_000).expect("opens");
    let mut steps = vec![(0, Vec::new())];
    type Step = fn(&mut Journal);
    let all: [Step; 10] = [
        |j| j.accept(1, letter("a", 10)),
        |j| j.accept(2, letter("b", 0)),
        |j| j.attempt(1, attempt("s-1")),
        |j| j.never_ran(1, 0),
        |j| j.attempt(1, attempt("s-2")),
        |j| j.judge(1, Verdict::Dead),
        |j| j.accept(3, letter("c", 5)),
        |j| j.judge(2, Verdict::Bounced { wait: Some(Duration::from_millis(250)) }),
        |j| j.end(1),
        |j| j.attempt(3, attempt("s-1")),
    ];
    for step in all {
        step(&mut j);
        j.flush().expect("written");
        steps.push((fs::read(folder.0.join(NAME)).expect("the file").len(), state(&j)));
    }
    steps
}

#[test]
fn a_torn_tail_is_cut_off_at_every_byte_and_all_before_it_stays() {
    let folder = Folder::new();
    let steps = written(&folder);
    let whole = fs::read(folder.0.join(NAME)).expect("the file");
    for cut in 0..=whole.len() {
        fs::write(folder.0.join(NAME), &whole[..cut]).expect("written");
        let (mut j, last) = Journal::open(&folder.0, 3_000_000).expect("opens");
        let (len, wanted) = steps.iter().rev().find(|(len, _)| *len <= cut).expect("the start");
        assert_eq!(&state(&j), wanted, "cut at {cut}");
        assert_eq!(fs::metadata(folder.0.join(NAME)).expect("the file").len(), *len as u64);
        // It goes on from there.
        j.accept(last + 1, letter("next", 3));
        j.flush().expect("written");
        let (j2, _) = Journal::open(&folder.0, 3_000_000).expect("opens");
        assert_eq!(state(&j2), state(&j), "cut at {cut}");
    }
}

#[test]
fn a_spoilt_byte_hides_what_follows_and_nothing_before() {
    let folder = Folder::new();
    let steps = written(&folder);
    let whole = fs::read(folder.0.join(NAME)).expect("the file");
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x41;
        fs::write(folder.0.join(NAME), &bytes).expect("written");
        let (j, _) = Journal::open(&folder.0, 3_000_000).expect("opens");
        let (_, wanted) = steps.iter().rev().find(|(len, _)| *len <= at).expect("the start");
        assert_eq!(&state(&j), wanted, "spoilt at {at}");
    }
}

#[test]
fn rewriting_keeps_what_lives_and_numbers_are_not_used_again() {
    let folder = Folder::new();
    let (mut j, _) = Journal::open(&folder.0, 3_000_000).expect("opens");
    j.accept(1, letter("old", 100));
    j.attempt(1, attempt("s-1"));
    j.attempt(1, attempt("s-2"));
    j.never_ran(1, 0);
    j.accept(2, letter("judged", 100));
    j.judge(2, Verdict::Bounced { wait: None });
    let mut sizes = Vec::new();
    for n in 3..2000 {
        j.accept(n, letter("new", 300));
        j.flush().expect("written");
        j.end(n);
        j.flush().expect("written");
        sizes.push(folder.size());
    }
    assert!(sizes.windows(2).any(|w| w[1] < w[0]), "it was never rewritten");
    assert!(sizes.iter().all(|s| *s < 2 * SMALL), "it grows without end");
    let (again, last) = Journal::open(&folder.0, 3_000_000).expect("opens");
    assert_eq!(state(&again), state(&j));
    assert_eq!(state(&again).len(), 2);
    assert!(last >= 2, "{last}");
    assert_eq!(again.live()[&1].attempts.iter().map(|a| a.may_have_run).collect::<Vec<_>>(), [false, true]);
}

#[test]
fn a_rewrite_that_was_cut_short_leaves_the_old_file() {
    let folder = Folder::new();
    let steps = written(&folder);
    fs::write(folder.0.join(NEXT), b"half a rewr").expect("written");
    let (j, _) = Journal::open(&folder.0, 3_000_000).expect("opens");
    assert_eq!(state(&j), steps.last().expect("steps").1);
    assert!(!folder.0.join(NEXT).exists());
}

#[test]
fn the_disk_s_bound_is_kept_with_old_and_new_file_together() {
    let folder = Folder::new();
    let disk = 400_000;
    let (mut j, _) = Journal::open(&folder.0, disk).expect("opens");
    let (mut refused, mut live) = (0, std::collections::VecDeque::new());
    for n in 1..3000u64 {
        let new = letter(&format!("m{n}"), (n as usize * 37) % 9000);
        if j.fits(&new) {
            j.accept(n, new);
            for a in 0..6 {
                j.attempt(n, attempt("s-of-a-usual-length"));
                j.never_ran(n, a);
            }
            live.push_back(n);
        } else {
            refused += 1;
            j.end(live.pop_front().expect("something lives"));
        }
        j.flush().expect("written");
        // Old and new stand side by side at a rewrite: the new one is no longer than what lives.
        let beside = j.weight;
        assert!(folder.size() + beside <= disk, "{} + {beside}", folder.size());
    }
    assert!(refused > 100);
    let (again, _) = Journal::open(&folder.0, disk).expect("opens");
    assert_eq!(state(&again), state(&j));
}

#[test]
fn after_a_disk_error_nothing_is_lost_and_the_file_stays_sound() {
    let folder = Folder::new();
    let (mut j, _) = Journal::open(&folder.0, 3_000_000).expect("opens");
    j.accept(1, letter("a", 10));
    j.flush().expect("written");
    // A file that cannot be written stands for a disk that fails.
    let well = std::mem::replace(&mut j.file, File::open(folder.0.join(NAME)).expect("read-only"));
    j.accept(2, letter("b", 10));
    assert!(j.flush().is_err());
    j.attempt(1, attempt("s-1"));
    assert!(j.flush().is_err());
    j.file = well;
    j.flush().expect("works again");
    let (again, last) = Journal::open(&folder.0, 3_000_000).expect("opens");
    assert_eq!((state(&again), last), (state(&j), 2));
}

#[test]
fn as_many_usual_messages_fit_as_a_courier_holds() {
    // Found on a day with a backlog: the room for later records was counted so high that 580 filled the disk.
    let folder = Folder::new();
    let (mut j, _) = Journal::open(&folder.0, 3_000_000).expect("opens");
    for n in 1..=1000u64 {
        let new = letter(&format!("9b1f03aa5c7e{n:04x}"), 480);
        assert!(j.fits(&new), "{n}");
        j.accept(n, new);
        j.flush().expect("written");
    }
}
