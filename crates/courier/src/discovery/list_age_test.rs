use super::*;
use std::net::{IpAddr, Ipv4Addr};

const DISCOVERY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8500);

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("stairshed-list-age-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn the_age_of_the_list_keeps_counting_across_a_restart() {
    let folder = folder("restart");
    let file = ListAgeFile::new(&folder);
    assert_eq!(file.load(DISCOVERY), ListAge::Unrecorded);
    file.save(DISCOVERY, Duration::ZERO).expect("saved");
    std::thread::sleep(Duration::from_millis(20));
    let ListAge::Known(age) = ListAgeFile::new(&folder).load(DISCOVERY) else { panic!("no age") };
    assert!(age >= Duration::from_millis(20) && age < Duration::from_secs(20), "{age:?}");
    fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn the_age_of_the_list_counts_from_the_arrival_of_the_line() {
    let folder = folder("arrival");
    let file = ListAgeFile::new(&folder);
    let age_when_read = Duration::from_secs(3);
    file.save(DISCOVERY, age_when_read).expect("saved");
    let ListAge::Known(age) = file.load(DISCOVERY) else { panic!("no age") };
    assert!(age >= age_when_read, "{age:?}");
    fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn a_time_that_is_damaged_or_of_another_boot_or_discovery_gives_no_age() {
    let folder = folder("damaged");
    let file = ListAgeFile::new(&folder);
    file.save(DISCOVERY, Duration::ZERO).expect("saved");
    let complete = fs::read_to_string(&file.path).expect("a file");
    let future = format!("{} {} {DISCOVERY}\n", file.boot_id.clone().unwrap_or_default(), u64::MAX);
    let truncated = (0..complete.len()).map(|length| complete[..length].to_owned());
    for text in
        truncated.chain([format!("other-{complete}"), future, format!("{complete}x"), "\u{0}".repeat(60)])
    {
        fs::write(&file.path, &text).expect("written");
        assert_eq!(file.load(DISCOVERY), ListAge::Unknown, "{text:?}");
    }
    fs::write(&file.path, &complete).expect("written");
    let other = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8501);
    assert_eq!(file.load(other), ListAge::Unknown, "a time of another discovery is not used");
    assert!(matches!(file.load(DISCOVERY), ListAge::Known(_)));
    fs::write(&file.path, [0xff, 0xfe]).expect("written");
    assert_eq!(file.load(DISCOVERY), ListAge::Unknown);
    fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn a_failed_write_keeps_the_older_time() {
    let folder = folder("failing");
    let file = ListAgeFile::new(&folder);
    file.save(DISCOVERY, Duration::ZERO).expect("saved");
    // A folder at the path of the temporary file makes each write fail.
    fs::create_dir(&file.next_path).expect("a folder");
    assert!(file.save(DISCOVERY, Duration::ZERO).is_err());
    assert!(matches!(file.load(DISCOVERY), ListAge::Known(_)));
    fs::remove_dir_all(folder).expect("removed");
}
