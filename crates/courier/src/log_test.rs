use super::*;
use std::io::{PipeReader, Read, pipe};
use std::os::fd::IntoRawFd;

/// The reader of a pipe, and a log that writes to the pipe. Its descriptor stays open.
fn log_to_pipe() -> (PipeReader, LineWriter) {
    let (reader, writer) = pipe().expect("a pipe");
    (reader, LineWriter::new(writer.into_raw_fd()))
}

fn errno(result: io::Result<()>) -> Option<i32> {
    result.err().and_then(|error| error.raw_os_error())
}

#[test]
fn a_line_that_does_not_fit_is_dropped_and_one_that_was_cut_off_is_ended() {
    let (mut reader, mut log) = log_to_pipe();
    let long = [vec![b'x'; 100 * MAX_BYTES_PER_WRITE], b"\n".to_vec()].concat();
    let started = Instant::now();
    assert_eq!(errno(log.write(&long)), Some(libc::EAGAIN));
    for _ in 0..1000 {
        assert_eq!(errno(log.write(b"dropped\n")), Some(libc::EAGAIN));
    }
    assert!(started.elapsed() < Duration::from_secs(1), "a wait for each line would take 20 s");
    let mut content = vec![0; 100 * MAX_BYTES_PER_WRITE];
    let length = reader.read(&mut content).expect("what fitted");
    assert!(content[..length].iter().all(|byte| *byte == b'x'));
    log.write(b"written\n").expect("there is room");
    let length = reader.read(&mut content).expect("the next line");
    assert_eq!(&content[..length], b"\nwritten\n");
}

#[test]
fn a_log_whose_reader_is_gone_or_that_is_closed_gives_an_error() {
    let (reader, mut log) = log_to_pipe();
    drop(reader);
    assert_eq!(errno(log.write(b"dropped\n")), Some(libc::EPIPE));
    // No process has as many descriptors.
    assert_eq!(errno(LineWriter::new(RawFd::MAX).write(b"dropped\n")), Some(libc::EBADF));
}
