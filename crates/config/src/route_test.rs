//! Compares the router with a linear scan by the documented precedence, on random routes and requests, and
//! tests examples.

use super::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Ordering;

#[derive(Debug)]
struct TestRequest {
    method: &'static str,
    host: &'static str,
    path: String,
    headers: Vec<(&'static str, &'static str)>,
}

impl Request for TestRequest {
    fn method(&self) -> &str {
        self.method
    }
    fn host(&self) -> &str {
        self.host
    }
    fn path(&self) -> &str {
        &self.path
    }
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }
}

/// Reference implementation: whether a route matches a request.
fn matches(c: &Condition, request: &TestRequest) -> bool {
    let host = match c.host.as_deref() {
        None => true,
        Some(h) => match h.strip_prefix('*') {
            Some(under) => request.host.len() > under.len() && request.host.ends_with(under),
            None => h == request.host,
        },
    };
    let parts: Vec<&str> = request.path[1..].split('/').collect();
    let long = match c.path.prefix {
        true => parts.len() >= c.path.segments.len(),
        false => parts.len() == c.path.segments.len(),
    };
    let path = long
        && c.path.segments.iter().zip(&parts).all(|(s, p)| match s {
            Segment::Literal(t) => t == p,
            Segment::Wildcard(_) => !p.is_empty(),
        });
    let headers = c.headers.iter().all(|(n, v)| request.header(n) == Some(v));
    host && path && headers && c.methods.iter().any(|m| m == request.method)
}

/// Reference implementation of the precedence; the lesser condition comes first.
fn precedence(a: &Condition, b: &Condition) -> Ordering {
    let host = |c: &Condition| match c.host.as_deref() {
        None => (2, 0),
        Some(h) if h.starts_with('*') => (1, -(h.matches('.').count() as i32)),
        Some(_) => (0, 0),
    };
    let path = |c: &Condition| {
        let mut ranks: Vec<u8> =
            c.path.segments.iter().map(|s| u8::from(matches!(s, Segment::Wildcard(_)))).collect();
        // After the last segment, an exact path ranks before a prefix.
        ranks.push(if c.path.prefix { 3 } else { 2 });
        ranks
    };
    host(a)
        .cmp(&host(b))
        .then_with(|| path(a).cmp(&path(b)))
        .then_with(|| b.headers.len().cmp(&a.headers.len()))
}

/// Whether two routes have equal precedence and could match the same request.
fn conflict(a: &Condition, b: &Condition) -> bool {
    let texts = |c: &Condition| -> Vec<Option<String>> {
        let text = |s: &Segment| if let Segment::Literal(t) = s { Some(t.clone()) } else { None };
        c.path.segments.iter().map(text).collect()
    };
    let methods = a.methods.iter().any(|m| b.methods.contains(m));
    let headers = a.headers.iter().all(|(n, v)| b.headers.get(n).is_none_or(|o| o == v));
    precedence(a, b) == Ordering::Equal && a.host == b.host && texts(a) == texts(b) && methods && headers
}

fn pick<T: Copy>(rng: &mut SmallRng, of: &[T]) -> T {
    of[rng.random_range(0..of.len())]
}

fn random_route(rng: &mut SmallRng) -> Condition {
    let hosts = [None, None, Some("a.b.c"), Some("*.b.c"), Some("*.c"), Some("c")];
    let host = pick(rng, &hosts).map(str::to_owned);
    let mut text = String::new();
    for n in 0..rng.random_range(0..4) {
        let segment = match rng.random_range(0..3) {
            0 => format!("/{{p{n}}}"),
            _ => format!("/{}", pick(rng, &["x", "y"])),
        };
        text.push_str(&segment);
    }
    let prefix = rng.random_bool(0.3);
    if text.is_empty() || (!prefix && rng.random_bool(0.1)) {
        text.push('/');
    }
    let methods = match rng.random_range(0..3) {
        0 => vec!["POST".to_owned()],
        1 => vec!["POST".to_owned(), "PUT".to_owned()],
        _ => vec!["PUT".to_owned()],
    };
    let mut headers = BTreeMap::new();
    for name in ["h", "i"] {
        if rng.random_bool(0.3) {
            headers.insert(name.to_owned(), pick(rng, &["1", "2"]).to_owned());
        }
    }
    Condition { host, path: Pattern::read(&text, prefix).expect(&text), methods, headers }
}

fn random_request(rng: &mut SmallRng) -> TestRequest {
    let depth = rng.random_range(0..5);
    let mut path: String = (0..depth).map(|_| format!("/{}", pick(rng, &["x", "y", "z"]))).collect();
    if path.is_empty() || rng.random_bool(0.1) {
        path.push('/');
    }
    let mut headers = Vec::new();
    for name in ["h", "i"] {
        if rng.random_bool(0.6) {
            headers.push((name, pick(rng, &["1", "2", "3"])));
        }
    }
    let (methods, hosts) = (["POST", "PUT", "GET"], ["a.b.c", "z.b.c", "y.z.b.c", "b.c", "c", "d"]);
    TestRequest { method: pick(rng, &methods), host: pick(rng, &hosts), path, headers }
}

#[test]
fn lookup_agrees_with_a_scan_by_precedence_and_all_conflicts_are_reported() {
    let mut found = [0; 4];
    for seed in 0..2000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut routes: Vec<Condition> = Vec::new();
        for _ in 0..rng.random_range(1..40) {
            let new = random_route(&mut rng);
            let conflicting = routes.iter().position(|old| conflict(old, &new));
            routes.push(new);
            let built = Router::new(&routes);
            assert_eq!(built.is_err(), conflicting.is_some(), "seed {seed}: {routes:#?}");
            if let (Some(conflicting), Err(result)) = (conflicting, built) {
                let last = routes.len() - 1;
                let right = |c: &Conflict| c.1 == last && conflict(&routes[c.0], &routes[last]);
                assert!(result.iter().all(right), "seed {seed}: {result:?}, not {conflicting} and {last}");
                routes.pop();
                found[3] += 1;
            }
        }
        let router = Router::new(&routes).expect("no conflict");
        for _ in 0..50 {
            let request = random_request(&mut rng);
            let mut matching: Vec<usize> =
                (0..routes.len()).filter(|n| matches(&routes[*n], &request)).collect();
            matching.sort_by(|a, b| precedence(&routes[*a], &routes[*b]));
            let result = router.route(&request);
            assert_eq!(result.as_ref().ok(), matching.first(), "seed {seed}: {request:?} in {routes:#?}");
            found[match result {
                Ok(_) => 0,
                Err(NoRoute::Path) => 1,
                Err(_) => 2,
            }] += 1;
        }
    }
    assert!(found.iter().all(|n| *n > 1000), "each kind of answer was seen: {found:?}");
}

#[test]
fn the_order_of_routes_has_no_effect() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut routes: Vec<Condition> = Vec::new();
        while routes.len() < 20 {
            let new = random_route(&mut rng);
            if !routes.iter().any(|old| conflict(old, &new)) {
                routes.push(new);
            }
        }
        let reversed: Vec<_> = routes.iter().rev().cloned().collect();
        let (one, two) = (Router::new(&routes).expect("valid"), Router::new(&reversed).expect("sound"));
        for _ in 0..50 {
            let request = random_request(&mut rng);
            let other = two.route(&request).map(|n| routes.len() - 1 - n);
            assert_eq!(one.route(&request), other, "seed {seed}: {request:?}");
        }
    }
}

#[test]
fn ambiguous_paths_are_rejected() {
    for (path, normal) in [
        ("/", Some("/")),
        ("/a/b/", Some("/a/b/")),
        ("/%7Ea/%2d", Some("/~a/-")),
        ("/a%3fb", Some("/a%3Fb")),
        ("/\u{e4}", Some("/%C3%A4")),
        ("a", None),
        ("", None),
        ("/a//b", None),
        ("/a/../b", None),
        ("/a/%2e%2e/b", None),
        ("/.", None),
        ("/a%2Fb", None),
        ("/a%5Cb", None),
        ("/a\\b", None),
        ("/a%00", None),
        ("/a%4", None),
        ("/a%+1", None),
        ("/a b", None),
    ] {
        assert_eq!(normalize_path(path).as_deref(), normal, "{path}");
    }
}

#[test]
fn invalid_patterns_are_rejected() {
    for (text, prefix) in [
        ("", false),
        ("a", false),
        ("/a//b", false),
        ("/{}", false),
        ("/{rest}", false),
        ("/a{b}", false),
        ("/{a}{b}", false),
        ("/{a}/{a}", false),
        ("/a/../b", false),
        ("/a?b", false),
        ("/a/", true),
    ] {
        assert!(Pattern::read(text, prefix).is_err(), "{text}");
    }
    let pattern = Pattern::read("/v1/{station}/pay", true).expect("valid");
    assert_eq!(pattern.names(), ["station", "rest"]);
    assert_eq!(pattern.captures("/v1/7/pay/a/b"), [("station", "7"), ("rest", "a/b")]);
    assert_eq!(pattern.captures("/v1/7/pay"), [("station", "7"), ("rest", "")]);
}

#[test]
fn very_long_paths_are_looked_up_only_up_to_the_segment_limit() {
    let router = Router::new(&[Condition {
        path: Pattern::read("/a", true).expect("valid"),
        methods: vec!["POST".to_owned()],
        ..Condition::default()
    }]);
    let router = router.expect("valid");
    let request = |path| TestRequest { method: "POST", host: "", path, headers: Vec::new() };
    assert_eq!(router.route(&request("/b".repeat(100_000))), Err(NoRoute::Path));
    assert_eq!(router.route(&request("/a".to_owned() + &"/b".repeat(100_000))), Ok(0));
}
