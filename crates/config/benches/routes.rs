//! Time of a route lookup with 10, 1,000 and 10,000 routes. For comparison, as a lower bound: a single lookup
//! of the same path in a hash map, without patterns, hosts, methods or headers. `cargo bench -p
//! stairshed-config --bench routes`

use stairshed_config::load;
use stairshed_config::route::Request;
use std::collections::HashMap;
use std::hint::black_box;
use std::time::Instant;

struct BenchRequest {
    host: String,
    path: String,
    tenant: String,
}

impl Request for BenchRequest {
    fn method(&self) -> &str {
        "POST"
    }
    fn host(&self) -> &str {
        &self.host
    }
    fn path(&self) -> &str {
        &self.path
    }
    fn header(&self, name: &str) -> Option<&str> {
        (name == "x-tenant").then_some(self.tenant.as_str())
    }
}

const LOOKUPS: usize = 400_000;

/// Nanoseconds per lookup, best of five runs.
fn time(mut one: impl FnMut(usize)) -> f64 {
    let run = |one: &mut dyn FnMut(usize)| {
        let began = Instant::now();
        (0..LOOKUPS).for_each(one);
        began.elapsed().as_nanos() as f64 / LOOKUPS as f64
    };
    (0..5).map(|_| run(&mut one)).fold(f64::MAX, f64::min)
}

fn main() {
    println!("routes  paths: ns  hash map: ns  hosts: ns  headers: ns  load and check: ms");
    for routes in [10, 1000, 10_000] {
        let head = "[classes.c]\n[pools.p]\n";
        let file = |of: &dyn Fn(usize) -> String| {
            let all = (0..routes).map(|n| format!("[routes.r{n}]\n{}pool = \"p\"\nclass = \"c\"\n", of(n)));
            head.to_owned() + &all.collect::<String>()
        };
        let path = |n: usize| format!("/v1/group{}/place{n}", n % 10);
        let began = Instant::now();
        let paths = load("paths", &file(&|n| format!("path = \"{}/{{id}}/pay\"\n", path(n)))).expect("valid");
        let loaded = began.elapsed().as_secs_f64() * 1e3;
        let hosts =
            load("hosts", &file(&|n| format!("host = \"h{n}.example\"\nprefix = \"/\"\n"))).expect("valid");
        let by = |n| format!("path = \"/a\"\nheaders = {{ X-Tenant = \"t{n}\" }}\n");
        let headers = load("headers", &file(&by)).expect("valid");
        let requests: Vec<BenchRequest> = (0..1024)
            .map(|n| {
                let n = n * 7919 % routes;
                let path = format!("{}/17/pay", path(n));
                BenchRequest { host: format!("h{n}.example"), path, tenant: format!("t{n}") }
            })
            .collect();
        let same_path_requests: Vec<BenchRequest> = requests
            .iter()
            .map(|a| BenchRequest { host: String::new(), path: "/a".to_owned(), tenant: a.tenant.clone() })
            .collect();
        let whole: HashMap<String, usize> = (0..routes).map(|n| (format!("{}/17/pay", path(n)), n)).collect();
        let one = |table: &stairshed_config::Installation, all: &[BenchRequest], n: usize| {
            black_box(table.router.route(&all[n % 1024])).expect("a route");
        };
        println!(
            "{routes:6}  {:9.0}  {:12.0}  {:9.0}  {:11.0}  {loaded:18.1}",
            time(|n| one(&paths, &requests, n)),
            time(|n| {
                black_box(whole.get(&requests[n % 1024].path).expect("a path"));
            }),
            time(|n| one(&hosts, &requests, n)),
            time(|n| one(&headers, &same_path_requests, n)),
        );
    }
}
