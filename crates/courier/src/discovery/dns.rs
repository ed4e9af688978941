//! Looks up names of endpoints by DNS (RFC 1035), A records, at one resolver: over UDP, and over TCP where the
//! answer is cut short.

use crate::discovery::dns_cache::DnsCache;
use crate::events::{CourierEvent, EndpointList, Health, ListedEndpoint, diff_endpoints};
use simple_dns::rdata::RData;
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, RCODE, TYPE};
use stairshed_config::Installation;
use stairshed_config::installation::At;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{self, Sender};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// How long one try waits, and how many there are before a look-up has failed.
const TRY_TIME: Duration = Duration::from_secs(2);
const TRIES: usize = 2;
/// A datagram and a TCP answer are no longer: RFC 1035, 4.2.
const ANSWER_MOST: usize = 65_535;
/// Aliases followed within one answer.
const ALIASES_MOST: usize = 16;
/// Questions that are out at once: a version may name thousands.
const OUT_MOST: usize = 32;

/// A member whose address is a name.
#[derive(Clone)]
struct Wanted {
    host: String,
    name: String,
    port: u16,
    zone: String,
    destination: u64,
    limit: Option<f64>,
    own: bool,
    topic: Option<String>,
}

fn wanted(installation: &Installation) -> Vec<Wanted> {
    let members = installation.pools.iter().flat_map(|p| p.members.iter().map(move |m| (p, m)));
    let of = members.filter_map(|(pool, m)| match &m.at {
        At::Name(name, port) => Some(Wanted {
            host: m.host.clone(),
            name: name.clone(),
            port: *port,
            zone: m.zone.clone(),
            destination: pool.destination,
            limit: m.limit.or(pool.limit).map(|l| l.0),
            own: m.limit.is_some(),
            topic: m.topic.clone(),
        }),
        At::Address(_) => None,
    });
    of.collect()
}

/// Tells the look-ups of another configuration.
#[derive(Clone)]
pub struct ResolverHandle(watch::Sender<Vec<Wanted>>);

impl ResolverHandle {
    pub fn set(&self, installation: &Installation) {
        // A later configuration holds all that an earlier one told.
        self.0.send_replace(wanted(installation));
    }
}

/// Ends the look-ups when dropped.
pub struct ResolverTask(AbortHandle);

impl Drop for ResolverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The first name server of /etc/resolv.conf.
fn system_resolver() -> Option<SocketAddr> {
    let text = std::fs::read_to_string("/etc/resolv.conf").ok()?;
    let servers = text.lines().filter_map(|l| l.trim().strip_prefix("nameserver"));
    servers.filter_map(|s| s.trim().parse::<IpAddr>().ok()).map(|ip| SocketAddr::new(ip, 53)).next()
}

/// Begins to look up the names of an installation and of those that follow it.
pub fn spawn_resolver(
    installation: &Installation,
    news: Sender<CourierEvent>,
) -> (ResolverHandle, ResolverTask) {
    let (tell, told) = watch::channel(Vec::new());
    let dns = &installation.file.dns;
    let task = Task {
        server: installation.resolver,
        names: DnsCache::new(dns.refresh_least.0, dns.refresh_most.0),
        wanted: Vec::new(),
        listed: BTreeMap::new(),
        origin: Instant::now(),
        news,
    };
    let lookups = ResolverHandle(tell);
    lookups.set(installation);
    (lookups, ResolverTask(tokio::task::spawn_local(task.run(told)).abort_handle()))
}

struct Task {
    server: Option<SocketAddr>,
    names: DnsCache,
    wanted: Vec<Wanted>,
    /// What the courier was told, by the endpoint's name.
    listed: BTreeMap<String, ListedEndpoint>,
    origin: Instant,
    news: Sender<CourierEvent>,
}

type Answer = Result<(Vec<IpAddr>, Duration), String>;

impl Task {
    async fn run(mut self, mut told: watch::Receiver<Vec<Wanted>>) {
        let (answer, mut answers) = mpsc::channel::<(String, Answer)>(64);
        let room = Rc::new(Semaphore::new(OUT_MOST));
        loop {
            let now = self.origin.elapsed();
            for name in self.names.due(now) {
                let server = self.server.or_else(system_resolver);
                let (answer, room) = (answer.clone(), room.clone());
                tokio::task::spawn_local(async move {
                    let _permit = room.acquire().await;
                    let found = match server {
                        Some(server) => look_up(server, &name).await,
                        None => Err("no resolver: set dns.resolver".to_owned()),
                    };
                    let _ = answer.send((name, found)).await;
                });
            }
            let next = self.names.next().map(|at| self.origin + at);
            let nap = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = told.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let wanted = told.borrow_and_update().clone();
                    let names: BTreeSet<String> = wanted.iter().map(|w| w.name.clone()).collect();
                    self.wanted = wanted;
                    self.names.set(&names, self.origin.elapsed());
                    self.list().await;
                }
                Some((name, found)) = answers.recv() => self.answered(&name, found).await,
                () = nap => {}
            }
        }
    }

    async fn answered(&mut self, name: &str, found: Answer) {
        let now = self.origin.elapsed();
        match found {
            Ok((addresses, ttl)) => {
                if let Some(change) = self.names.answered(name, &addresses, ttl, now) {
                    let (come, gone) = (change.added.len(), change.removed.len());
                    eprintln!(
                        "dns: {name} stands for {} addresses, {come} new, {gone} gone",
                        addresses.len()
                    );
                    self.list().await;
                }
            }
            Err(why) => {
                let Some(failure) = self.names.failed(name, now) else { return };
                if failure.first {
                    match failure.age {
                        Some(age) => {
                            eprintln!("dns: {name}: {why}; the answer of {} s ago holds", age.as_secs())
                        }
                        None => {
                            eprintln!("dns: {name}: {why}; it was never answered, so it has no endpoints")
                        }
                    }
                }
            }
        }
    }

    /// Tells the courier what has changed since it was told last.
    async fn list(&mut self) {
        let mut now = BTreeMap::new();
        for w in &self.wanted {
            for ip in self.names.addresses(&w.name) {
                let address = SocketAddr::new(ip, w.port);
                let host = ListedEndpoint {
                    host: format!("{}@{ip}", w.host),
                    dial: address.to_string(),
                    site: w.zone.clone(),
                    class: if w.own { "own" } else { "shared" }.to_owned(),
                    block: w.destination,
                    health: Health::Ready,
                    share: w.limit.unwrap_or_default(),
                    topic: w.topic.clone(),
                    leased: false,
                };
                now.insert(host.host.clone(), host);
            }
        }
        let hosts = diff_endpoints(&self.listed, &now);
        self.listed = now;
        if !hosts.is_empty() {
            let _ = self
                .news
                .send(CourierEvent::NamesResolved(EndpointList { seq: 0, whole: false, hosts }))
                .await;
        }
    }
}

async fn look_up(server: SocketAddr, name: &str) -> Answer {
    let mut last = String::new();
    for _ in 0..TRIES {
        match timeout(TRY_TIME, ask(server, name)).await {
            Ok(Ok(found)) => return Ok(found),
            Ok(Err(why)) => last = why,
            Err(_) => last = format!("{server} does not answer"),
        }
    }
    Err(last)
}

async fn ask(server: SocketAddr, name: &str) -> Answer {
    let failed = |e: std::io::Error| format!("{server}: {e}");
    let id: u16 = rand::random();
    let question = question(id, name)?;
    let own: SocketAddr = if server.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    // A port of its own for each question, and no answer from elsewhere: a guess must hit both.
    let socket = UdpSocket::bind(own).await.map_err(failed)?;
    socket.connect(server).await.map_err(failed)?;
    socket.send(&question).await.map_err(failed)?;
    let mut buffer = vec![0; ANSWER_MOST];
    loop {
        let n = socket.recv(&mut buffer).await.map_err(failed)?;
        match read(id, name, &buffer[..n]) {
            Read::Answer(answer) => return answer,
            Read::CutShort => break,
            // Of another question, or none at all: the right one may still come.
            Read::Other => {}
        }
    }
    let mut stream = TcpStream::connect(server).await.map_err(failed)?;
    let length = (question.len() as u16).to_be_bytes();
    stream.write_all(&[&length[..], &question].concat()).await.map_err(failed)?;
    let length = stream.read_u16().await.map_err(failed)?;
    buffer.resize(usize::from(length), 0);
    stream.read_exact(&mut buffer).await.map_err(failed)?;
    match read(id, name, &buffer) {
        Read::Answer(answer) => answer,
        Read::CutShort | Read::Other => Err(format!("{server}: an answer that cannot be read")),
    }
}

fn question(id: u16, name: &str) -> Result<Vec<u8>, String> {
    let mut packet = Packet::new_query(id);
    packet.set_flags(PacketFlag::RECURSION_DESIRED);
    let name = Name::new(name).map_err(|e| format!("no name: {e}"))?;
    packet.questions.push(Question::new(name, QTYPE::TYPE(TYPE::A), QCLASS::CLASS(CLASS::IN), false));
    packet.build_bytes_vec().map_err(|e| e.to_string())
}

enum Read {
    Answer(Answer),
    CutShort,
    Other,
}

/// Reads an answer to a question for `name`.
fn read(id: u16, name: &str, bytes: &[u8]) -> Read {
    let Ok(packet) = Packet::parse(bytes) else { return Read::Other };
    let asked = packet.questions.first().map(|q| q.qname.to_string().to_ascii_lowercase());
    if packet.id() != id || !packet.has_flags(PacketFlag::RESPONSE) || asked.as_deref() != Some(name) {
        return Read::Other;
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Read::CutShort;
    }
    if packet.rcode() != RCODE::NoError {
        return Read::Answer(Err(format!("the resolver says {:?}", packet.rcode())));
    }
    // The name itself, and what it is an alias of.
    let mut names = BTreeSet::from([name.to_owned()]);
    for _ in 0..ALIASES_MOST {
        let before = names.len();
        for record in &packet.answers {
            if let RData::CNAME(to) = &record.rdata
                && names.contains(&record.name.to_string().to_ascii_lowercase())
            {
                names.insert(to.0.to_string().to_ascii_lowercase());
            }
        }
        if names.len() == before {
            break;
        }
    }
    let of = packet.answers.iter().filter(|r| names.contains(&r.name.to_string().to_ascii_lowercase()));
    let (mut addresses, mut ttl) = (Vec::new(), u32::MAX);
    for record in of {
        ttl = ttl.min(record.ttl);
        if let RData::A(a) = &record.rdata {
            addresses.push(IpAddr::from(a.address.to_be_bytes()));
        }
    }
    // Taken as it is, an empty answer would drain the pool; it may be a slip of the zone.
    match addresses.is_empty() {
        true => Read::Answer(Err("the resolver has no address of it".to_owned())),
        false => Read::Answer(Ok((addresses, Duration::from_secs(u64::from(ttl))))),
    }
}

#[cfg(test)]
#[path = "dns_test.rs"]
mod tests;
