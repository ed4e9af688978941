//! A stand-in partner that charges: it counts what took effect by message, and is as unreliable as told.

use crate::{Endpoint, EndpointAction, OK};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What became of a message at the partner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Charge {
    /// How often it took effect.
    pub times: usize,
    /// Whether that was answered.
    pub answered: bool,
}

/// The partner's book.
#[derive(Clone, Default)]
pub struct ChargeLedger(Arc<Mutex<BTreeMap<String, Charge>>>);

impl ChargeLedger {
    fn charge(&self, id: &str, answered: bool) {
        let mut book = self.0.lock().expect("the book");
        let charge = book.entry(id.to_owned()).or_default();
        charge.times += 1;
        charge.answered |= answered;
    }

    pub fn get(&self, id: &str) -> Charge {
        self.0.lock().expect("the book").get(id).copied().unwrap_or_default()
    }

    pub fn all(&self) -> BTreeMap<String, Charge> {
        self.0.lock().expect("the book").clone()
    }

    /// An endpoint that mostly charges and answers; sometimes late, sometimes with its connection broken
    /// behind the charge or before it, or it turns the call away.
    pub fn endpoint(&self, seed: u64) -> Endpoint {
        let (book, rng) = (self.clone(), Mutex::new(SmallRng::seed_from_u64(seed)));
        Endpoint::by_call(move |call| {
            let id = call.id.as_str();
            let (roll, wait) = {
                let mut rng = rng.lock().expect("the dice");
                (rng.random_range(0..20), Duration::from_millis(rng.random_range(1..40)))
            };
            match roll {
                0 => {
                    book.charge(id, false);
                    EndpointAction::CloseConnection
                }
                1 => EndpointAction::CloseConnection,
                2 => EndpointAction::Respond(BUSY),
                3 => EndpointAction::Respond(ERROR),
                4..8 => {
                    book.charge(id, true);
                    EndpointAction::RespondAfter(wait, OK)
                }
                _ => {
                    book.charge(id, true);
                    EndpointAction::Respond(OK)
                }
            }
        })
    }
}
