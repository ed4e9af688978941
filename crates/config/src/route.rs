//! Route matching: finds the route of a request, or the reason why there is none. Performs no I/O.
//!
//! Precedence, decided by the first criterion that differs:
//!
//! 1. host: an exact name, then `*.` names with more labels before those with fewer, then any host;
//! 2. path, segment by segment from the left: literal text, then `{name}`, then the end of a prefix; an exact
//!    path that ends at a segment comes before a prefix that ends there;
//! 3. more headers before fewer.
//!
//! Two routes of equal precedence that could match the same request are a conflict, which is reported when
//! the router is built. Each request therefore has one route, independent of the order in which routes are
//! written.
//!
//! A lookup walks the segments of the path down a tree, then looks into one hash table for each set of header
//! names used at that node, so its cost does not grow with the number of routes.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of segments in the path of a route.
pub const MAX_SEGMENTS: usize = 64;

/// Conditions under which a route matches a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// Host name in lower case, optionally with a leading `*.`; None matches any host.
    pub host: Option<String>,
    pub path: Pattern,
    /// Methods in upper case.
    pub methods: Vec<String>,
    /// Required values by header name in lower case.
    pub headers: BTreeMap<String, String>,
}

/// Pattern of a whole path or of a path prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pattern {
    pub segments: Vec<Segment>,
    /// Also matches any segments that follow.
    pub prefix: bool,
}

/// A segment of a pattern: literal text, or a named wildcard for one segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    Literal(String),
    Wildcard(String),
}

impl Pattern {
    /// Parses a pattern such as `/a/{name}/c`.
    ///
    /// # Errors
    /// The reason why the text is not a valid pattern.
    pub fn read(text: &str, prefix: bool) -> Result<Pattern, String> {
        let rest = text.strip_prefix('/').ok_or("a path begins with /")?;
        if prefix && text.len() > 1 && text.ends_with('/') {
            return Err(format!("a prefix has no / at its end: write {:?}", text.trim_end_matches('/')));
        }
        if text.contains(['?', '#']) {
            return Err("a path has no query and no fragment".to_owned());
        }
        let mut segments: Vec<Segment> = Vec::new();
        let parts: Vec<&str> = if prefix && rest.is_empty() { Vec::new() } else { rest.split('/').collect() };
        if parts.len() > MAX_SEGMENTS {
            return Err(format!("more than {MAX_SEGMENTS} segments"));
        }
        let last = parts.len().saturating_sub(1);
        for (n, part) in parts.iter().enumerate() {
            let name = part.strip_prefix('{').and_then(|p| p.strip_suffix('}'));
            let segment = match name {
                Some("") => return Err("{} needs a name".to_owned()),
                Some("rest") => {
                    return Err("{rest} is what comes behind a prefix: take another name".to_owned());
                }
                Some(name) if name.contains(['{', '}']) => {
                    return Err(format!("{part:?} is neither text nor one {{name}}"));
                }
                Some(name) => Segment::Wildcard(name.to_owned()),
                None if part.contains(['{', '}']) => {
                    return Err(format!("{part:?}: {{name}} stands for a whole segment"));
                }
                None if part.is_empty() && n < last => return Err("an empty segment".to_owned()),
                None => {
                    let plain =
                        normalize_path(&format!("/{part}")).ok_or(format!("{part:?} is no plain segment"))?;
                    Segment::Literal(plain[1..].to_owned())
                }
            };
            if segments.contains(&segment) && matches!(segment, Segment::Wildcard(_)) {
                return Err(format!("{part} comes twice"));
            }
            segments.push(segment);
        }
        Ok(Pattern { segments, prefix })
    }

    /// Names that a rewritten path may refer to.
    pub fn names(&self) -> Vec<&str> {
        let any = self.segments.iter().filter_map(|s| match s {
            Segment::Wildcard(name) => Some(name.as_str()),
            Segment::Literal(_) => None,
        });
        any.chain(self.prefix.then_some("rest")).collect()
    }

    /// Values of the names in a path that the pattern matches.
    pub fn captures<'a>(&'a self, path: &'a str) -> Vec<(&'a str, &'a str)> {
        let mut rest = path.strip_prefix('/').unwrap_or(path);
        let mut found = Vec::new();
        for segment in &self.segments {
            let (part, behind) = rest.split_once('/').unwrap_or((rest, ""));
            if let Segment::Wildcard(name) = segment {
                found.push((name.as_str(), part));
            }
            rest = behind;
        }
        found.extend(self.prefix.then_some(("rest", rest)));
        found
    }
}

/// Normalizes a path for comparison: percent-encoded characters that need no encoding are decoded, other
/// encodings are written in upper case (RFC 3986, 6.2.2). None for a path that different servers may
/// interpret differently: with an empty segment before the end, `.` or `..`, an encoded slash, a backslash, a
/// control character or an invalid percent-encoding.
pub fn normalize_path(path: &str) -> Option<String> {
    let mut out = String::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let Some((byte, behind)) = rest.split_first() {
        rest = behind;
        match byte {
            b'%' => {
                let (hex, behind) = rest.split_at_checked(2)?;
                rest = behind;
                let hex =
                    std::str::from_utf8(hex).ok().filter(|h| h.bytes().all(|b| b.is_ascii_hexdigit()))?;
                let byte = u8::from_str_radix(hex, 16).ok()?;
                match byte {
                    b'/' | b'\\' | 0..=31 | 127 => return None,
                    b if b.is_ascii_alphanumeric() || b"-._~".contains(&b) => out.push(char::from(b)),
                    _ => out.push_str(&format!("%{}", hex.to_ascii_uppercase())),
                }
            }
            b'\\' | 0..=32 | 127 => return None,
            b if b.is_ascii() => out.push(char::from(*b)),
            b => out.push_str(&format!("%{b:02X}")),
        }
    }
    let inner = out.strip_prefix('/')?;
    let parts: Vec<&str> = inner.split('/').collect();
    let is_ambiguous =
        |(n, part): (usize, &&str)| matches!(*part, "." | "..") || (part.is_empty() && n + 1 < parts.len());
    (!parts.iter().enumerate().any(is_ambiguous)).then_some(out)
}

/// The parts of a request that routes match.
pub trait Request {
    fn method(&self) -> &str;
    /// Host name in lower case, without a port.
    fn host(&self) -> &str;
    /// Path as returned by [`normalize_path`].
    fn path(&self) -> &str;
    /// Value of a header, by its name in lower case, if the header occurs exactly once.
    fn header(&self, name: &str) -> Option<&str>;
}

/// Why no route matches a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route matches the host and path.
    Path,
    /// Routes match the host and path, but with other headers.
    Headers,
    /// Routes match host, path and headers, but only with these methods.
    Method(Vec<String>),
}

/// Indexes of two routes of equal precedence that could match the same request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict(pub usize, pub usize);

/// Finds the matching route among all routes, by its index.
#[derive(Clone, Debug, Default)]
pub struct Router {
    hosts: HashMap<String, Node>,
    /// By the name that follows `*.`.
    wildcard_hosts: HashMap<String, Node>,
    any_host: Node,
}

/// A node of the tree of path segments.
#[derive(Clone, Debug, Default)]
struct Node {
    literals: HashMap<String, Node>,
    wildcard: Option<Box<Node>>,
    /// Routes whose exact path ends at this node.
    exact: Leaf,
    /// Routes whose prefix ends at this node.
    prefix: Leaf,
}

/// Routes with the same host and path.
#[derive(Clone, Debug, Default)]
struct Leaf {
    /// Grouped by the names of the required headers; groups with more names come first.
    groups: Vec<Group>,
}

/// Routes that require the same set of header names.
#[derive(Clone, Debug)]
struct Group {
    names: Vec<String>,
    /// By the required values, in the order of `names`.
    by_values: HashMap<Vec<String>, Vec<Candidate>>,
}

/// One of several routes that differ only in their methods.
#[derive(Clone, Debug)]
struct Candidate {
    methods: Vec<String>,
    route: usize,
}

impl Candidate {
    fn overlaps(&self, other: &Candidate) -> bool {
        self.methods.iter().any(|m| other.methods.contains(m))
    }
}

impl Router {
    /// Builds a router. Routes are identified by their index in `routes`.
    ///
    /// # Errors
    /// The conflicts found, at most one for each route and set of headers.
    pub fn new(routes: &[Condition]) -> Result<Router, Vec<Conflict>> {
        let mut router = Router::default();
        let mut conflicts = Vec::new();
        for (route, condition) in routes.iter().enumerate() {
            let mut node = match condition.host.as_deref().map(|h| (h.strip_prefix("*."), h)) {
                None => &mut router.any_host,
                Some((Some(under), _)) => router.wildcard_hosts.entry(under.to_owned()).or_default(),
                Some((None, host)) => router.hosts.entry(host.to_owned()).or_default(),
            };
            for segment in &condition.path.segments {
                node = match segment {
                    Segment::Literal(text) => node.literals.entry(text.clone()).or_default(),
                    Segment::Wildcard(_) => node.wildcard.get_or_insert_default(),
                };
            }
            let leaf = if condition.path.prefix { &mut node.prefix } else { &mut node.exact };
            conflicts.extend(leaf.add(route, condition));
        }
        if conflicts.is_empty() { Ok(router) } else { Err(conflicts) }
    }

    /// The index of the route that matches a request.
    ///
    /// # Errors
    /// Why no route matches.
    pub fn route(&self, request: &impl Request) -> Result<usize, NoRoute> {
        let path = request.path().strip_prefix('/').unwrap_or_default();
        let segments: Vec<&str> = path.split('/').take(MAX_SEGMENTS + 1).collect();
        let mut partial = PartialMatches::default();
        let mut found = None;
        if let Some(node) = self.hosts.get(request.host()) {
            found = node.find(&segments, request, &mut partial);
        }
        let mut host = request.host();
        while let (None, Some((_, under))) = (found, host.split_once('.')) {
            if let Some(node) = self.wildcard_hosts.get(under) {
                found = node.find(&segments, request, &mut partial);
            }
            host = under;
        }
        let found = found.or_else(|| self.any_host.find(&segments, request, &mut partial));
        found.ok_or_else(|| {
            partial.methods.sort();
            partial.methods.dedup();
            match (partial.methods.is_empty(), partial.headers) {
                (false, _) => NoRoute::Method(partial.methods),
                (true, true) => NoRoute::Headers,
                (true, false) => NoRoute::Path,
            }
        })
    }
}

/// Partial matches found by a lookup, which determine the error if no route matches.
#[derive(Default)]
struct PartialMatches {
    headers: bool,
    methods: Vec<String>,
}

impl Node {
    /// Visits each node at most once, since the depth of a node equals the index of the path segment.
    fn find(&self, segments: &[&str], request: &impl Request, partial: &mut PartialMatches) -> Option<usize> {
        let Some((first, rest)) = segments.split_first() else {
            return self.exact.find(request, partial).or_else(|| self.prefix.find(request, partial));
        };
        let text = self.literals.get(*first).and_then(|t| t.find(rest, request, partial));
        let any = self.wildcard.as_deref().filter(|_| !first.is_empty());
        text.or_else(|| any.and_then(|node| node.find(rest, request, partial)))
            .or_else(|| self.prefix.find(request, partial))
    }
}

impl Leaf {
    fn add(&mut self, route: usize, condition: &Condition) -> Vec<Conflict> {
        let candidate = Candidate { methods: condition.methods.clone(), route };
        let names: Vec<String> = condition.headers.keys().cloned().collect();
        let values: Vec<String> = condition.headers.values().cloned().collect();
        let mut conflicts = Vec::new();
        // One request can satisfy both sets of headers unless they require different values of the same
        // header.
        for group in self.groups.iter().filter(|g| g.names.len() == names.len() && g.names != names) {
            let compatible = |of: &Vec<String>| {
                group.names.iter().zip(of).all(|(n, v)| condition.headers.get(n).is_none_or(|own| own == v))
            };
            let mut both = group.by_values.iter().filter(|(of, _)| compatible(of)).flat_map(|(_, c)| c);
            conflicts.extend(both.find(|c| c.overlaps(&candidate)).map(|c| Conflict(c.route, route)));
        }
        let at = self.groups.iter().position(|g| g.names == names).unwrap_or_else(|| {
            let at = self.groups.partition_point(|g| g.names.len() >= names.len());
            self.groups.insert(at, Group { names, by_values: HashMap::new() });
            at
        });
        let candidates = self.groups[at].by_values.entry(values).or_default();
        conflicts
            .extend(candidates.iter().find(|c| c.overlaps(&candidate)).map(|c| Conflict(c.route, route)));
        candidates.push(candidate);
        conflicts
    }

    fn find(&self, request: &impl Request, partial: &mut PartialMatches) -> Option<usize> {
        for group in &self.groups {
            let values = group.names.iter().map(|n| request.header(n).map(str::to_owned));
            let values: Option<Vec<String>> = values.collect();
            let Some(candidates) = values.and_then(|v| group.by_values.get(&v)) else {
                partial.headers = true;
                continue;
            };
            if let Some(candidate) =
                candidates.iter().find(|c| c.methods.iter().any(|m| m == request.method()))
            {
                return Some(candidate.route);
            }
            partial.methods.extend(candidates.iter().flat_map(|c| c.methods.iter().cloned()));
        }
        None
    }
}

#[cfg(test)]
#[path = "route_test.rs"]
mod tests;
