//! Resolves the DNS names of endpoints (RFC 1035, A records) at one resolver, over UDP and, if the response
//! is truncated, over TCP.

use crate::discovery::dns_cache::DnsCache;
use crate::events::{DispatcherEvent, EndpointList, Health, ListedEndpoint, diff_endpoints};
use crate::socket;
use crate::system_errors::{Operation, report};
use simple_dns::rdata::RData;
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, RCODE, TYPE};
use stairshed_config::Installation;
use stairshed_config::installation::MemberAddress;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{self, Sender};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout};

/// Timeout of one query, its repetition over TCP included.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Queries after which a lookup counts as failed.
const MAX_QUERIES: usize = 2;
/// Longest response over UDP or TCP, bytes (RFC 1035, section 4.2).
const MAX_RESPONSE_BYTES: usize = 65_535;
/// CNAME records followed within one response.
const MAX_ALIASES: usize = 16;
/// Lookups in flight at once. A configuration version may contain thousands of names.
const MAX_LOOKUPS_IN_FLIGHT: usize = 32;

/// An endpoint whose address is a DNS name.
#[derive(Clone)]
struct NamedEndpoint {
    host: String,
    name: String,
    port: u16,
    zone: String,
    destination: u64,
    limit: Option<f64>,
    own: bool,
    topic: Option<String>,
}

/// Endpoints of an installation whose address is a DNS name.
fn named_endpoints(installation: &Installation) -> Vec<NamedEndpoint> {
    let members = installation.pools.iter().flat_map(|p| p.members.iter().map(move |m| (p, m)));
    let of = members.filter_map(|(pool, m)| match &m.address {
        MemberAddress::Name(name, port) => Some(NamedEndpoint {
            host: m.host.clone(),
            name: name.clone(),
            port: *port,
            zone: m.zone.clone(),
            destination: pool.destination,
            limit: m.limit.or(pool.limit).map(|l| l.0),
            own: m.limit.is_some(),
            topic: m.topic.clone(),
        }),
        MemberAddress::Address(_) => None,
    });
    of.collect()
}

/// Passes configurations to the resolver task.
#[derive(Clone)]
pub struct ResolverHandle(watch::Sender<Vec<NamedEndpoint>>);

impl ResolverHandle {
    /// Passes on the names of a configuration.
    pub fn set(&self, installation: &Installation) {
        // Each value replaces the one before, since it lists all names of the configuration.
        self.0.send_replace(named_endpoints(installation));
    }
}

/// The resolver task, aborted on drop.
pub struct ResolverTask(AbortHandle);

impl Drop for ResolverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Returns the first name server in /etc/resolv.conf.
fn system_name_server() -> Option<SocketAddr> {
    let text = std::fs::read_to_string("/etc/resolv.conf").ok()?;
    let servers = text.lines().filter_map(|l| l.trim().strip_prefix("nameserver"));
    servers.filter_map(|s| s.trim().parse::<IpAddr>().ok()).map(|ip| SocketAddr::new(ip, 53)).next()
}

/// Starts the task that resolves the endpoint names of an installation and of its later configurations.
pub fn spawn_resolver(
    installation: &Installation,
    events: Sender<DispatcherEvent>,
) -> (ResolverHandle, ResolverTask) {
    let (sender, updates) = watch::channel(Vec::new());
    let dns = &installation.file.dns;
    let task = ResolveTask {
        server: installation.resolver,
        cache: DnsCache::new(dns.refresh_least.0, dns.refresh_most.0),
        named_endpoints: Vec::new(),
        reported: BTreeMap::new(),
        origin: Instant::now(),
        events,
    };
    let handle = ResolverHandle(sender);
    handle.set(installation);
    (handle, ResolverTask(tokio::task::spawn_local(task.run(updates)).abort_handle()))
}

struct ResolveTask {
    server: Option<SocketAddr>,
    cache: DnsCache,
    named_endpoints: Vec<NamedEndpoint>,
    /// Entries last reported to the courier, by host.
    reported: BTreeMap<String, ListedEndpoint>,
    origin: Instant,
    events: Sender<DispatcherEvent>,
}

/// Addresses with their time to live, or why the lookup failed.
type Answer = Result<(Vec<IpAddr>, Duration), String>;

impl ResolveTask {
    async fn run(mut self, mut updates: watch::Receiver<Vec<NamedEndpoint>>) {
        let (answer, mut answers) = mpsc::channel::<(String, Answer)>(64);
        let permits = Rc::new(Semaphore::new(MAX_LOOKUPS_IN_FLIGHT));
        loop {
            let now = self.origin.elapsed();
            for name in self.cache.take_due(now) {
                let server = self.server.or_else(system_name_server);
                let (answer, permits) = (answer.clone(), permits.clone());
                tokio::task::spawn_local(async move {
                    let _permit = permits.acquire().await;
                    let found = match server {
                        Some(server) => lookup(server, &name).await,
                        None => Err("no resolver is configured; set dns.resolver".to_owned()),
                    };
                    let _ = answer.send((name, found)).await;
                });
            }
            let next = self.cache.next_due().map(|at| self.origin + at);
            let timer = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = updates.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let named_endpoints = updates.borrow_and_update().clone();
                    let names: BTreeSet<String> = named_endpoints.iter().map(|e| e.name.clone()).collect();
                    self.named_endpoints = named_endpoints;
                    self.cache.set_names(&names, self.origin.elapsed());
                    self.report_changes().await;
                }
                Some((name, found)) = answers.recv() => self.lookup_finished(&name, found).await,
                () = timer => {}
            }
        }
    }

    async fn lookup_finished(&mut self, name: &str, found: Answer) {
        let now = self.origin.elapsed();
        match found {
            Ok((addresses, ttl)) => {
                if let Some(change) = self.cache.answered(name, &addresses, ttl, now) {
                    let (come, gone) = (change.added.len(), change.removed.len());
                    log_line!(
                        "dns: {name} stands for {} addresses, {come} new, {gone} gone",
                        addresses.len()
                    );
                    self.report_changes().await;
                }
            }
            Err(why) => {
                let Some(failure) = self.cache.failed(name, now) else { return };
                if failure.first {
                    match failure.age {
                        Some(age) => {
                            log_line!("dns: {name}: {why}; the answer of {} s ago holds", age.as_secs())
                        }
                        None => {
                            log_line!("dns: {name}: {why}; it was never answered, so it has no endpoints")
                        }
                    }
                }
            }
        }
    }

    /// Reports the entries that have changed since the last report.
    async fn report_changes(&mut self) {
        let mut now = BTreeMap::new();
        for endpoint in &self.named_endpoints {
            for ip in self.cache.addresses(&endpoint.name) {
                let address = SocketAddr::new(ip, endpoint.port);
                let host = ListedEndpoint {
                    host: format!("{}@{ip}", endpoint.host),
                    dial: address.to_string(),
                    site: endpoint.zone.clone(),
                    class: if endpoint.own { "own" } else { "shared" }.to_owned(),
                    block: endpoint.destination,
                    health: Health::Ready,
                    share: endpoint.limit.unwrap_or_default(),
                    topic: endpoint.topic.clone(),
                    leased: false,
                };
                now.insert(host.host.clone(), host);
            }
        }
        let hosts = diff_endpoints(&self.reported, &now);
        self.reported = now;
        if !hosts.is_empty() {
            let _ = self
                .events
                .send(DispatcherEvent::NamesResolved(EndpointList { seq: 0, whole: false, hosts }))
                .await;
        }
    }
}

/// Queries the server, repeating a failed query.
async fn lookup(server: SocketAddr, name: &str) -> Answer {
    let mut last = String::new();
    for _ in 0..MAX_QUERIES {
        match timeout(QUERY_TIMEOUT, query(server, name)).await {
            Ok(Ok(found)) => return Ok(found),
            Ok(Err(why)) => last = why,
            Err(_) => last = format!("{server} does not answer"),
        }
    }
    Err(last)
}

/// Repeats a call on a UDP socket that a signal interrupted.
async fn retry_interrupted<T>(mut call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call().await {
            Err(e) if socket::is_transient(Operation::QueryDns, &e) => {}
            result => return result,
        }
    }
}

/// Sends one query, over TCP if the response over UDP is truncated.
async fn query(server: SocketAddr, name: &str) -> Answer {
    let failed = |e: io::Error| {
        report(Operation::QueryDns, &e);
        format!("{server}: {e}")
    };
    let id: u16 = rand::random();
    let query = build_query(id, name)?;
    let local: SocketAddr = if server.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    // Each query uses a new source port and a connected socket, so that a forged response must guess the port
    // and the id.
    let socket = UdpSocket::bind(local).await.map_err(failed)?;
    socket.connect(server).await.map_err(failed)?;
    retry_interrupted(async || socket.send(&query).await).await.map_err(failed)?;
    let mut buffer = vec![0; MAX_RESPONSE_BYTES];
    loop {
        let n = retry_interrupted(async || socket.recv(&mut buffer).await).await.map_err(failed)?;
        match parse_response(id, name, &buffer[..n]) {
            Response::Answer(answer) => return answer,
            Response::Truncated => break,
            // A response to another query, or an invalid one; the right one may still arrive.
            Response::Unrelated => {}
        }
    }
    let stream = TcpStream::connect(server).await.map_err(failed)?;
    let length = (query.len() as u16).to_be_bytes();
    socket::write_all(&stream, &[&length[..], &query].concat()).await.map_err(failed)?;
    let mut length = [0; 2];
    socket::read_exact(&stream, &mut length).await.map_err(failed)?;
    buffer.resize(usize::from(u16::from_be_bytes(length)), 0);
    socket::read_exact(&stream, &mut buffer).await.map_err(failed)?;
    match parse_response(id, name, &buffer) {
        Response::Answer(answer) => answer,
        Response::Truncated | Response::Unrelated => Err(format!("{server}: invalid response over TCP")),
    }
}

fn build_query(id: u16, name: &str) -> Result<Vec<u8>, String> {
    let mut packet = Packet::new_query(id);
    packet.set_flags(PacketFlag::RECURSION_DESIRED);
    let name = Name::new(name).map_err(|e| format!("invalid DNS name: {e}"))?;
    packet.questions.push(Question::new(name, QTYPE::TYPE(TYPE::A), QCLASS::CLASS(CLASS::IN), false));
    packet.build_bytes_vec().map_err(|e| e.to_string())
}

/// A parsed response.
enum Response {
    Answer(Answer),
    /// The response is truncated; the query is repeated over TCP.
    Truncated,
    /// Not a response to this query, or not a DNS message.
    Unrelated,
}

/// Parses a response to the query for `name` with this id.
fn parse_response(id: u16, name: &str, bytes: &[u8]) -> Response {
    let Ok(packet) = Packet::parse(bytes) else { return Response::Unrelated };
    let asked = packet.questions.first().map(|q| q.qname.to_string().to_ascii_lowercase());
    if packet.id() != id || !packet.has_flags(PacketFlag::RESPONSE) || asked.as_deref() != Some(name) {
        return Response::Unrelated;
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Response::Truncated;
    }
    if packet.rcode() != RCODE::NoError {
        return Response::Answer(Err(format!("the resolver responded {:?}", packet.rcode())));
    }
    // The name and the targets of its CNAME records.
    let mut names = BTreeSet::from([name.to_owned()]);
    for _ in 0..MAX_ALIASES {
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
    // An empty response is an error: it may be a mistake in the DNS zone, and applying it would drain
    // the pool.
    match addresses.is_empty() {
        true => Response::Answer(Err("the resolver returned no address".to_owned())),
        false => Response::Answer(Ok((addresses, Duration::from_secs(u64::from(ttl))))),
    }
}

#[cfg(test)]
#[path = "dns_test.rs"]
mod tests;
