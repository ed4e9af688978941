//! Reloads and restarts with other files, drawn by a seed, while payments are on their way to brokers: numbers of pools,
//! names and addresses of endpoints, client ids and QoS change, brokers acknowledge late or not at all, connections break
//! and sessions are lost. No payment takes effect twice, and each that was accepted took effect or is told of.
//! `RELOAD_SEED=N` sets the first seed, `RELOAD_SEEDS=N` the number of seeds, `RELOAD_STEPS=N` the steps of each.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use stairshed_rig::broker::{Acks, Broker, BrokerFaults};
use stairshed_rig::*;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

const POOLS: [&str; 2] = ["pumps", "tolls"];
const BROKERS: usize = 3;
/// Pause between two steps.
const PAUSE: Duration = Duration::from_millis(60);
const MAX_PAYMENTS_PER_STEP: usize = 4;

/// The keys of a pool that a step may change.
#[derive(Clone, Debug)]
struct PoolKeys {
    destination: Option<u32>,
    endpoint: &'static str,
    broker: usize,
    client: Option<&'static str>,
    qos: u8,
}

impl PoolKeys {
    fn draw(random: &mut SmallRng, pool: usize) -> Self {
        // Numbers of pools are distinct.
        let numbers = [None, Some(10 + pool as u32), Some(20 + pool as u32)];
        PoolKeys {
            destination: *numbers.choose(random).expect("a number"),
            endpoint: ["east", "west"].choose(random).expect("a name"),
            broker: random.random_range(0..BROKERS),
            client: *[None, None, Some("one"), Some("two")].choose(random).expect("a client id"),
            qos: random.random_range(1..=2),
        }
    }

    fn section(&self, name: &str, brokers: &[Broker]) -> String {
        let number = self.destination.map(|number| format!("destination = {number}\n")).unwrap_or_default();
        let client = self.client.map(|client| format!("mqtt.client = \"{client}\"\n")).unwrap_or_default();
        let (endpoint, address, qos) = (self.endpoint, brokers[self.broker].address, self.qos);
        format!(
            "[pools.{name}]\nendpoints = [{{ name = \"{endpoint}\", address = \"mqtt://{address}/in\" }}]\n\
             {number}{client}mqtt.qos = {qos}\n\
             [routes.{name}]\npath = \"/{name}\"\npool = \"{name}\"\nclass = \"payment\"\n"
        )
    }
}

struct Play {
    seed: u64,
    random: SmallRng,
    brokers: Vec<Broker>,
    folder: TestFolder,
    pools: Vec<PoolKeys>,
    /// None only while it is restarted.
    courier: Option<Courier>,
    accepted: Vec<String>,
    steps: Vec<String>,
}

impl Play {
    fn begin(seed: u64) -> Play {
        let mut random = SmallRng::seed_from_u64(seed);
        let brokers: Vec<Broker> = (0..BROKERS).map(|_| Broker::new(BrokerFaults::default())).collect();
        let pools = (0..POOLS.len()).map(|pool| PoolKeys::draw(&mut random, pool)).collect();
        let folder = TestFolder::new();
        let mut play = Play {
            seed,
            random,
            brokers,
            folder,
            pools,
            courier: None,
            accepted: Vec::new(),
            steps: Vec::new(),
        };
        play.courier = Some(Courier::serve(&play.folder, &play.file()));
        play
    }

    fn file(&self) -> String {
        let sections = POOLS.iter().zip(&self.pools).map(|(name, keys)| keys.section(name, &self.brokers));
        format!(
            "name = \"depot\"\n[listen]\nhttp = \"127.0.0.1:0\"\n[limits]\npool_wait = \"2s\"\n\
             [classes.payment]\neffect = \"once\"\ndeadline = \"5s\"\n{}",
            sections.collect::<String>()
        )
    }

    fn courier(&self) -> &Courier {
        self.courier.as_ref().expect("a courier")
    }

    fn change_pools(&mut self) {
        let pool = self.random.random_range(0..POOLS.len());
        self.pools[pool] = PoolKeys::draw(&mut self.random, pool);
        self.steps.push(format!("{}: {:?}", POOLS[pool], self.pools[pool]));
    }

    fn reload(&mut self) {
        self.change_pools();
        self.courier().replace_config_file(&self.folder, &self.file());
        self.courier().wait_for_log("the file is read again and in effect");
    }

    fn restart(&mut self) {
        if self.random.random_bool(0.7) {
            self.change_pools();
        }
        self.steps.push("killed and started".to_owned());
        self.courier.take().expect("a courier").kill();
        self.courier = Some(Courier::serve(&self.folder, &self.file()));
    }

    fn pay(&mut self) {
        for _ in 0..self.random.random_range(1..=MAX_PAYMENTS_PER_STEP) {
            let id = format!("p{}-{}", self.seed, self.accepted.len());
            let pool = POOLS.choose(&mut self.random).expect("a pool");
            if self.courier().post(&format!("/{pool}"), &id, "", &id).status() == 202 {
                self.accepted.push(id);
            }
        }
    }

    fn disturb_broker(&mut self) {
        let at = self.random.random_range(0..BROKERS);
        let broker = &self.brokers[at];
        let what = match self.random.random_range(0..5) {
            0 => {
                broker.cut();
                "its connections break"
            }
            1 => {
                broker.cut();
                broker.forget();
                "its sessions are lost"
            }
            2 => {
                broker.change(|faults| faults.acks = Acks::Never);
                "acknowledges nothing"
            }
            3 => {
                broker.change(|faults| faults.acks = Acks::Late(500 * MS));
                "acknowledges late"
            }
            _ => {
                broker.change(|faults| faults.acks = Acks::AtOnce);
                "acknowledges at once"
            }
        };
        self.steps.push(format!("broker {at}: {what}"));
    }

    fn step(&mut self) {
        match self.random.random_range(0..10) {
            0..4 => self.pay(),
            4..6 => self.reload(),
            6 => self.restart(),
            _ => self.disturb_broker(),
        }
        thread::sleep(PAUSE);
    }

    fn effects(&self) -> BTreeMap<String, u32> {
        let mut effects = BTreeMap::new();
        for (id, count) in self.brokers.iter().flat_map(Broker::effects) {
            *effects.entry(id).or_default() += count;
        }
        effects
    }

    /// Waits until each payment has ended, and asserts that each took effect once at most, and is told of if it did
    /// not.
    fn judge(&self) {
        self.brokers.iter().for_each(|broker| broker.change(|faults| faults.acks = Acks::AtOnce));
        let told = || outcomes(&self.folder).into_iter().collect::<BTreeMap<String, String>>();
        let context = || format!("RELOAD_SEED={}: {:#?}", self.seed, self.steps);
        wait_until("each payment to take effect or to be told of", || {
            let (effects, told) = (self.effects(), told());
            self.accepted.iter().all(|id| effects.contains_key(id) || told.contains_key(id))
        });
        let (effects, told) = (self.effects(), told());
        for (id, count) in &effects {
            assert!(*count <= 1, "{id} took effect {count} times, {}", context());
        }
        for id in &self.accepted {
            let (count, told) =
                (effects.get(id).copied().unwrap_or_default(), told.get(id).map(String::as_str));
            let is_sound = match told {
                None => count == 1,
                Some("bounced") => count == 0,
                Some(told) => told == "dead",
            };
            assert!(is_sound, "{id} took effect {count} times and is told as {told:?}, {}", context());
        }
        let dead = told.values().filter(|told| *told == "dead").count();
        println!(
            "seed {}: {} payments, {} took effect, {dead} dead",
            self.seed,
            self.accepted.len(),
            effects.len()
        );
    }
}

#[test]
fn payments_run_once_through_reloads_and_restarts_that_change_their_brokers() {
    let (first, seeds) = (env_or("RELOAD_SEED", 1), env_or("RELOAD_SEEDS", 4));
    let steps = env_or("RELOAD_STEPS", 60);
    let plays: Vec<_> = (first..first + seeds)
        .map(|seed| {
            thread::spawn(move || {
                let mut play = Play::begin(seed);
                (0..steps).for_each(|_| play.step());
                play.judge();
            })
        })
        .collect();
    for play in plays {
        play.join().expect("a play that holds");
    }
}
