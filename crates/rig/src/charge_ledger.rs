//! A fake partner that takes payments unreliably and counts how often each message took effect.

use crate::{Endpoint, EndpointAction, OK};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// The effect of one message at the partner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Charge {
    /// Number of times that the message took effect.
    pub times: usize,
    /// Whether a successful response was scheduled for any of them.
    pub answered: bool,
}

/// The charges of all messages, by id. Clones share one ledger.
#[derive(Clone, Default)]
pub struct ChargeLedger(Arc<Mutex<BTreeMap<String, Charge>>>);

impl ChargeLedger {
    fn charge(&self, id: &str, answered: bool) {
        let mut ledger = self.0.lock().expect("the ledger");
        let charge = ledger.entry(id.to_owned()).or_default();
        charge.times += 1;
        charge.answered |= answered;
    }

    /// Returns the charge of one message.
    pub fn get(&self, id: &str) -> Charge {
        self.0.lock().expect("the ledger").get(id).copied().unwrap_or_default()
    }

    /// Returns the charges of all messages.
    pub fn all(&self) -> BTreeMap<String, Charge> {
        self.0.lock().expect("the ledger").clone()
    }

    /// Starts an endpoint that mostly charges and responds with 200. It sometimes responds late, closes the
    /// connection before or after the charge, or rejects the call with 500 or 503.
    pub fn endpoint(&self, seed: u64) -> Endpoint {
        let (ledger, rng) = (self.clone(), Mutex::new(SmallRng::seed_from_u64(seed)));
        Endpoint::by_call(move |call| {
            let id = call.id.as_str();
            let (roll, wait) = {
                let mut rng = rng.lock().expect("the generator");
                (rng.random_range(0..20), Duration::from_millis(rng.random_range(1..40)))
            };
            match roll {
                0 => {
                    ledger.charge(id, false);
                    EndpointAction::CloseConnection
                }
                1 => EndpointAction::CloseConnection,
                2 => EndpointAction::Respond(BUSY),
                3 => EndpointAction::Respond(ERROR),
                4..8 => {
                    ledger.charge(id, true);
                    EndpointAction::RespondAfter(wait, OK)
                }
                _ => {
                    ledger.charge(id, true);
                    EndpointAction::Respond(OK)
                }
            }
        })
    }
}
