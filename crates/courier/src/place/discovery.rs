//! The watch on the list of endpoints. It lasts until its connection ends or falls silent; then it is
//! asked for again, with backoff.

use crate::news::{List, News};
use crate::out::link::Link;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, header};
use rand::{SeedableRng, rngs::SmallRng};
use stairshed_config::lines::Lines;
use stairshed_decide::brain::ask_after;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::time::{Instant, sleep};

const CONNECT: Duration = Duration::from_millis(1000);
/// Discovery works through calls in turn and gives one up after its own time-out.
const FIRST_ANSWER: Duration = Duration::from_millis(2500);
/// While nothing changes an empty line comes every 2 s. A machine that vanished leaves the connection open
/// and silent; a change counts as told 6 s later, so silence must be found out before that.
const SILENT: Duration = Duration::from_millis(4300);
const BACKOFF_FIRST: f64 = 0.15;
const BACKOFF_MOST: f64 = 2.0;
/// No line is longer; guards memory against one without an end.
const LINE_MOST: usize = 8 * 1024 * 1024;

pub struct Watch {
    pub address: SocketAddr,
    pub seed: u64,
    /// The version that the courier has.
    pub seq: u64,
    /// Ask for the whole list: the version is not known to be one of discovery's.
    pub fresh: bool,
    /// Time over which the fleet's calls are spread once a watch has ended or was turned away: all may have lost
    /// theirs in the same moment.
    pub spread: Duration,
}

impl Watch {
    /// Watches for good. Ends only when nobody listens any more.
    pub async fn run(mut self, news: Sender<News>) {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut backoff = BACKOFF_FIRST;
        while !news.is_closed() {
            let since = Instant::now();
            let heard = self.once(&news).await;
            if heard && since.elapsed() > SILENT {
                backoff = BACKOFF_FIRST;
            }
            sleep(ask_after(backoff, self.spread, &mut rng)).await;
            backoff = (backoff * 2.0).min(BACKOFF_MOST);
        }
    }

    /// One watch, from its connection to its end. True if it was answered.
    async fn once(&mut self, news: &Sender<News>) -> bool {
        let Some(mut link) = Link::open(self.address, CONNECT, None).await else { return false };
        let path = match self.fresh {
            true => "/api/targets?stream=1".to_owned(),
            false => format!("/api/targets?stream=1&index={}", self.seq),
        };
        let host = self.address.to_string();
        let request = Request::get(path).header(header::HOST, host).body(Full::<Bytes>::default());
        let Ok(request) = request else { return false };
        let Some(answer) = link.watch(request, FIRST_ANSWER).await else { return false };
        if answer.status() != StatusCode::OK {
            return false;
        }
        let (mut body, mut lines) = (answer.into_body(), Lines::new(LINE_MOST));
        let mut heard = false;
        while let Some(piece) = link.piece(&mut body, SILENT).await {
            if lines.push(&piece).is_err() || lines.buffered() > LINE_MOST {
                return heard;
            }
            for line in lines.by_ref() {
                // An empty line says that all is as it was: an answer too.
                let list = match line.iter().all(u8::is_ascii_whitespace) {
                    true => List { seq: self.seq, ..List::default() },
                    false => match serde_json::from_slice::<List>(&line) {
                        Ok(list) => list,
                        Err(e) => {
                            eprintln!("discovery: a line that cannot be read: {e}");
                            // What it would have told is asked for again, as a whole list.
                            self.fresh = true;
                            return heard;
                        }
                    },
                };
                if !list.hosts.is_empty() || list.whole {
                    (self.seq, self.fresh) = (list.seq, false);
                } else {
                    self.seq = self.seq.max(list.seq);
                    if heard {
                        continue;
                    }
                }
                heard = true;
                if news.send(News::Listed(list)).await.is_err() {
                    return true;
                }
            }
        }
        heard
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_fleet_that_loses_its_watches_does_not_ask_again_at_once() {
        // Asked by all within a quarter of a second, discovery gave up each call before its turn came, for good.
        let asks = |spread| {
            let mut seconds = [0; 20];
            for seed in 0..100 {
                let rng = &mut SmallRng::seed_from_u64(seed);
                seconds[ask_after(BACKOFF_FIRST, spread, rng).as_secs() as usize] += 1;
            }
            seconds
        };
        let fleet = asks(Duration::from_secs(8));
        assert!(fleet.iter().all(|asked| *asked <= 25), "{fleet:?}");
        assert_eq!(asks(Duration::ZERO)[0], 100, "few ask at once");
    }
}
