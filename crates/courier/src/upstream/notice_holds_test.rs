use super::*;
use stairshed_journal::Verdict;

fn batch(messages: &[u64]) -> Vec<Notice> {
    let notice = |message: &u64| Notice {
        message: *message,
        id: message.to_string(),
        verdict: Verdict::Bounced { wait: None },
        attempts: None,
    };
    messages.iter().map(notice).collect()
}

fn numbers(batch: &[Notice]) -> Vec<u64> {
    batch.iter().map(|notice| notice.message).collect()
}

#[test]
fn held_notices_wait_and_withdrawn_ones_leave_their_batch() {
    let (holds, mut batch) = (NoticeHolds::default(), batch(&[1, 2, 3, 4]));
    assert!(holds.hold(1) && holds.hold(3));
    assert_eq!((holds.sort_batch(&mut batch), numbers(&batch)), (2, vec![2, 4, 1, 3]));
    holds.release(1);
    holds.withdraw(3, true);
    assert_eq!((holds.sort_batch(&mut batch), numbers(&batch)), (3, vec![2, 4, 1]));
}

#[test]
fn notice_that_is_being_posted_cannot_be_held_back() {
    let (holds, batch) = (NoticeHolds::default(), batch(&[1]));
    holds.begin(&batch);
    assert!(!holds.hold(1));
    holds.end(&batch);
    assert!(holds.hold(1) && !holds.hold(1), "once");
}
