//! Which route a request takes. Pure: a request in, a route out, or a named reason.
//!
//! Precedence, the first that differs decides:
//!
//! 1. host: its own name, then `*.` names with more labels before fewer, then any host;
//! 2. path, segment by segment from the left: the text itself, then `{name}`, then the end of a prefix; a
//!    path that ends there before a prefix that ends there;
//! 3. more headers before fewer.
//!
//! Two routes of which neither comes first, and that one request could both match, are a conflict, told when
//! the table is built. So a request has one route whatever the order in which routes were written.
//!
//! A lookup walks the path once through a tree, then asks one table for each set of header names that is
//! used at that place: its cost does not grow with the number of routes.

use std::collections::{BTreeMap, HashMap};

/// Path segments that are looked at; a path with more is no route's.
pub const MAX_SEGMENTS: usize = 64;

/// What a request must be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// In lower case, perhaps with `*.` ahead; None for any.
    pub host: Option<String>,
    pub path: Pattern,
    /// Upper case.
    pub methods: Vec<String>,
    /// Names in lower case.
    pub headers: BTreeMap<String, String>,
}

/// A path, or a prefix of paths.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pattern {
    pub segments: Vec<Segment>,
    /// What stands behind the segments is matched, too.
    pub prefix: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    Literal(String),
    Wildcard(String),
}

impl Pattern {
    /// Reads `/a/{name}/c`.
    ///
    /// # Errors
    /// What is wrong with it.
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

    /// Names that a rewrite may use.
    pub fn names(&self) -> Vec<&str> {
        let any = self.segments.iter().filter_map(|s| match s {
            Segment::Wildcard(name) => Some(name.as_str()),
            Segment::Literal(_) => None,
        });
        any.chain(self.prefix.then_some("rest")).collect()
    }

    /// What the names stand for in a path that it matches.
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

/// A path as it is compared: percent-encoded characters that need no encoding are decoded, the others in
/// upper case (RFC 3986, 6.2.2). None for one that readers take for different paths: an empty segment before
/// the end, `.` and `..`, an encoded slash, a control character, an encoding that is none.
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
    let odd =
        |(n, part): (usize, &&str)| matches!(*part, "." | "..") || (part.is_empty() && n + 1 < parts.len());
    (!parts.iter().enumerate().any(odd)).then_some(out)
}

/// A request, as far as routes ask.
pub trait Request {
    fn method(&self) -> &str;
    /// In lower case and without a port.
    fn host(&self) -> &str;
    /// As [`normal_path`] gives it.
    fn path(&self) -> &str;
    /// The value of a header, by its name in lower case, if it is there once.
    fn header(&self, name: &str) -> Option<&str>;
}

/// Why a request has no route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route has this host and path.
    Path,
    /// Some have, with other headers.
    Headers,
    /// Some have, with these methods only.
    Method(Vec<String>),
}

/// Two routes that a request could both match, and neither comes first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict(pub usize, pub usize);

/// All routes. `T` numbers what they lead to.
#[derive(Clone, Debug, Default)]
pub struct Router {
    hosts: HashMap<String, Tree>,
    /// By what stands behind `*.`.
    under: HashMap<String, Tree>,
    any: Tree,
}

#[derive(Clone, Debug, Default)]
struct Tree {
    texts: HashMap<String, Tree>,
    segment: Option<Box<Tree>>,
    /// Routes that end here, and prefixes that do.
    whole: Leaf,
    prefix: Leaf,
}

/// Routes of one host and path.
#[derive(Clone, Debug, Default)]
struct Leaf {
    /// By the names of the headers that they ask for; more names first.
    groups: Vec<Group>,
}

#[derive(Clone, Debug)]
struct Group {
    names: Vec<String>,
    /// By the values of those headers.
    by_values: HashMap<Vec<String>, Vec<Choice>>,
}

/// Routes that differ by method only.
#[derive(Clone, Debug)]
struct Choice {
    methods: Vec<String>,
    route: usize,
}

impl Choice {
    fn overlaps(&self, other: &Choice) -> bool {
        self.methods.iter().any(|m| other.methods.contains(m))
    }
}

impl Router {
    /// Builds the table. Routes are named by their place in `routes`.
    ///
    /// # Errors
    /// All conflicts that were found; at most one for each route and set of headers.
    pub fn new(routes: &[Condition]) -> Result<Router, Vec<Conflict>> {
        let mut router = Router::default();
        let mut conflicts = Vec::new();
        for (route, condition) in routes.iter().enumerate() {
            let mut tree = match condition.host.as_deref().map(|h| (h.strip_prefix("*."), h)) {
                None => &mut router.any,
                Some((Some(under), _)) => router.under.entry(under.to_owned()).or_default(),
                Some((None, host)) => router.hosts.entry(host.to_owned()).or_default(),
            };
            for segment in &condition.path.segments {
                tree = match segment {
                    Segment::Literal(text) => tree.texts.entry(text.clone()).or_default(),
                    Segment::Wildcard(_) => tree.segment.get_or_insert_default(),
                };
            }
            let leaf = if condition.path.prefix { &mut tree.prefix } else { &mut tree.whole };
            conflicts.extend(leaf.add(route, condition));
        }
        if conflicts.is_empty() { Ok(router) } else { Err(conflicts) }
    }

    /// The route of a request.
    ///
    /// # Errors
    /// Why it has none.
    pub fn route(&self, request: &impl Request) -> Result<usize, NoRoute> {
        let path = request.path().strip_prefix('/').unwrap_or_default();
        let segments: Vec<&str> = path.split('/').take(MAX_SEGMENTS + 1).collect();
        let mut miss = Miss::default();
        let mut found = None;
        if let Some(tree) = self.hosts.get(request.host()) {
            found = tree.find(&segments, request, &mut miss);
        }
        let mut host = request.host();
        while let (None, Some((_, under))) = (found, host.split_once('.')) {
            if let Some(tree) = self.under.get(under) {
                found = tree.find(&segments, request, &mut miss);
            }
            host = under;
        }
        let found = found.or_else(|| self.any.find(&segments, request, &mut miss));
        found.ok_or_else(|| {
            miss.methods.sort();
            miss.methods.dedup();
            match (miss.methods.is_empty(), miss.headers) {
                (false, _) => NoRoute::Method(miss.methods),
                (true, true) => NoRoute::Headers,
                (true, false) => NoRoute::Path,
            }
        })
    }
}

/// What came near.
#[derive(Default)]
struct Miss {
    headers: bool,
    methods: Vec<String>,
}

impl Tree {
    /// Each node is come to once at most: its place in the tree is its place in the path.
    fn find(&self, segments: &[&str], request: &impl Request, miss: &mut Miss) -> Option<usize> {
        let Some((first, rest)) = segments.split_first() else {
            return self.whole.find(request, miss).or_else(|| self.prefix.find(request, miss));
        };
        let text = self.texts.get(*first).and_then(|t| t.find(rest, request, miss));
        let any = self.segment.as_deref().filter(|_| !first.is_empty());
        text.or_else(|| any.and_then(|tree| tree.find(rest, request, miss)))
            .or_else(|| self.prefix.find(request, miss))
    }
}

impl Leaf {
    fn add(&mut self, route: usize, condition: &Condition) -> Vec<Conflict> {
        let choice = Choice { methods: condition.methods.clone(), route };
        let names: Vec<String> = condition.headers.keys().cloned().collect();
        let values: Vec<String> = condition.headers.values().cloned().collect();
        let mut conflicts = Vec::new();
        // One request can have the headers of both, unless they ask for two values of one.
        for group in self.groups.iter().filter(|g| g.names.len() == names.len() && g.names != names) {
            let agrees = |of: &Vec<String>| {
                group.names.iter().zip(of).all(|(n, v)| condition.headers.get(n).is_none_or(|own| own == v))
            };
            let mut both = group.by_values.iter().filter(|(of, _)| agrees(of)).flat_map(|(_, c)| c);
            conflicts.extend(both.find(|c| c.overlaps(&choice)).map(|c| Conflict(c.route, route)));
        }
        let at = self.groups.iter().position(|g| g.names == names).unwrap_or_else(|| {
            let at = self.groups.partition_point(|g| g.names.len() >= names.len());
            self.groups.insert(at, Group { names, by_values: HashMap::new() });
            at
        });
        let choices = self.groups[at].by_values.entry(values).or_default();
        conflicts.extend(choices.iter().find(|c| c.overlaps(&choice)).map(|c| Conflict(c.route, route)));
        choices.push(choice);
        conflicts
    }

    fn find(&self, request: &impl Request, miss: &mut Miss) -> Option<usize> {
        for group in &self.groups {
            let values = group.names.iter().map(|n| request.header(n).map(str::to_owned));
            let values: Option<Vec<String>> = values.collect();
            let Some(choices) = values.and_then(|v| group.by_values.get(&v)) else {
                miss.headers = true;
                continue;
            };
            if let Some(choice) = choices.iter().find(|c| c.methods.iter().any(|m| m == request.method())) {
                return Some(choice.route);
            }
            miss.methods.extend(choices.iter().flat_map(|c| c.methods.iter().cloned()));
        }
        None
    }
}

#[cfg(test)]
#[path = "route_test.rs"]
mod tests;
