//! Compares the ledger with a plain model on random sequences of operations: the sums match after every
//! operation, no new work exceeds a cap, usage by client matches, and everything is zero at the end.

use proptest::prelude::*;
use stairshed_memory::{
    ByPurpose, CapSetting, Caps, Charge, Client, ClientAccount, Ledger, Purpose, RefusalCause, Reserve,
};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Op {
    Charge { purpose: usize, bytes: u64, client: Option<usize> },
    Reserve { purpose: usize, bytes: u64 },
    Force { purpose: usize, bytes: u64 },
    Draw { of: usize, bytes: u64 },
    DropCharge { of: usize },
    DropReserve { of: usize },
    Transfer { of: usize, purpose: usize },
    Resize { of: usize, bytes: u64 },
    Grow { of: usize, bytes: u64 },
    Caps { purpose: usize, bytes: u64 },
    Reconnect { client: usize },
}

const PURPOSES: usize = Purpose::ALL.len();
const CLIENTS: usize = 4;
const SHARE: f64 = 0.4;

fn op() -> impl Strategy<Value = Op> {
    let (purpose, bytes, of) = (0..PURPOSES, 0..90_000u64, 0..64usize);
    let client = prop_oneof![Just(None), (0..CLIENTS).prop_map(Some)];
    prop_oneof![
        6 => (purpose.clone(), bytes.clone(), client).prop_map(|(purpose, bytes, client)| Op::Charge { purpose, bytes, client }),
        3 => (purpose.clone(), bytes.clone()).prop_map(|(purpose, bytes)| Op::Reserve { purpose, bytes }),
        1 => (purpose.clone(), bytes.clone()).prop_map(|(purpose, bytes)| Op::Force { purpose, bytes }),
        2 => (of.clone(), bytes.clone()).prop_map(|(of, bytes)| Op::Draw { of, bytes }),
        4 => of.clone().prop_map(|of| Op::DropCharge { of }),
        1 => of.clone().prop_map(|of| Op::DropReserve { of }),
        2 => (of.clone(), purpose.clone()).prop_map(|(of, purpose)| Op::Transfer { of, purpose }),
        1 => (of.clone(), bytes.clone()).prop_map(|(of, bytes)| Op::Resize { of, bytes }),
        1 => (of, bytes.clone()).prop_map(|(of, bytes)| Op::Grow { of, bytes }),
        1 => (purpose, 256_000..400_000u64).prop_map(|(purpose, bytes)| Op::Caps { purpose, bytes }),
        1 => (0..CLIENTS).prop_map(|client| Op::Reconnect { client }),
    ]
}

/// Expected state of the ledger.
#[derive(Default)]
struct Model {
    caps: BTreeMap<usize, u64>,
    /// Charges: purpose, bytes, client; reserves: purpose, bytes.
    charges: Vec<(usize, u64, Option<usize>)>,
    reserves: Vec<(usize, u64)>,
}

impl Model {
    fn held(&self, purpose: usize) -> u64 {
        let charged: u64 = self.charges.iter().filter(|c| c.0 == purpose).map(|c| c.1).sum();
        charged + self.reserves.iter().filter(|r| r.0 == purpose).map(|r| r.1).sum::<u64>()
    }

    fn client(&self, purpose: usize, client: usize) -> u64 {
        self.charges.iter().filter(|c| c.0 == purpose && c.2 == Some(client)).map(|c| c.1).sum()
    }

    fn expected_refusal(&self, purpose: usize, bytes: u64, client: Option<usize>) -> Option<RefusalCause> {
        let (cap, after) = (self.caps[&purpose], self.held(purpose) + bytes);
        if after > cap {
            return Some(RefusalCause::Cap);
        }
        let over = |c| (self.client(purpose, c) + bytes) as f64 > cap as f64 * SHARE;
        let tight = after as f64 > cap as f64 * 0.65;
        client.is_some_and(|c| tight && over(c)).then_some(RefusalCause::Share)
    }
}

fn caps(of: &BTreeMap<usize, u64>) -> Caps {
    let settings = ByPurpose::new(|p| Some(CapSetting::Size(of[&(p as usize)])));
    Caps::new(None, &settings).expect("valid caps")
}

fn run(ops: Vec<Op>) {
    let mut model = Model { caps: (0..PURPOSES).map(|p| (p, 300_000)).collect(), ..Model::default() };
    let ledger = Ledger::new(&caps(&model.caps), SHARE);
    let name = |n: usize| Client::Name(format!("client {n}").into());
    let mut accounts: Vec<ClientAccount> = (0..CLIENTS).map(|n| ledger.client_account(name(n))).collect();
    let (mut charges, mut reserves): (Vec<Charge>, Vec<Reserve>) = (Vec::new(), Vec::new());
    for op in ops {
        let purpose_of = |n: usize| Purpose::ALL[n];
        match op {
            Op::Charge { purpose, bytes, client } => {
                let charged = ledger.try_charge(purpose_of(purpose), bytes, client.map(|c| &accounts[c]));
                assert_eq!(
                    charged.as_ref().err().map(|r| r.why),
                    model.expected_refusal(purpose, bytes, client)
                );
                if let Ok(charge) = charged {
                    charges.push(charge);
                    model.charges.push((purpose, bytes, client));
                }
            }
            Op::Reserve { purpose, bytes } => {
                let reserved = ledger.reserve(purpose_of(purpose), bytes);
                assert_eq!(
                    reserved.as_ref().err().map(|r| r.why),
                    model.expected_refusal(purpose, bytes, None)
                );
                if let Ok(reserve) = reserved {
                    reserves.push(reserve);
                    model.reserves.push((purpose, bytes));
                }
            }
            Op::Force { purpose, bytes } => {
                charges.push(ledger.force_charge(purpose_of(purpose), bytes));
                model.charges.push((purpose, bytes, None));
            }
            Op::Draw { of, bytes } if of < reserves.len() => {
                charges.push(reserves[of].draw(bytes));
                let (purpose, left) = model.reserves[of];
                model.reserves[of].1 = left.saturating_sub(bytes);
                model.charges.push((purpose, bytes, None));
            }
            Op::DropCharge { of } if of < charges.len() => {
                charges.swap_remove(of);
                model.charges.swap_remove(of);
            }
            Op::DropReserve { of } if of < reserves.len() => {
                reserves.swap_remove(of);
                model.reserves.swap_remove(of);
            }
            Op::Transfer { of, purpose } if of < charges.len() => {
                let (before, bytes, client) = model.charges[of];
                let charge = charges.swap_remove(of);
                model.charges.swap_remove(of);
                // The charge still counts for the old purpose while the new one is checked.
                model.charges.push((before, bytes, client));
                let expected_refusal = model.expected_refusal(purpose, bytes, client);
                match charge.transfer_to(purpose_of(purpose)) {
                    Ok(charge) => {
                        assert_eq!(expected_refusal, None);
                        charges.push(charge);
                        model.charges.pop();
                        model.charges.push((purpose, bytes, client));
                    }
                    Err((charge, refused)) => {
                        assert_eq!(Some(refused.why), expected_refusal);
                        charges.push(charge);
                    }
                }
            }
            Op::Resize { of, bytes } if of < charges.len() => {
                charges[of].resize(bytes);
                model.charges[of].1 = bytes;
            }
            Op::Grow { of, bytes } if of < charges.len() => {
                let (purpose, _, client) = model.charges[of];
                let grown = charges[of].grow(bytes);
                assert_eq!(grown.err().map(|r| r.why), model.expected_refusal(purpose, bytes, client));
                model.charges[of].1 = charges[of].bytes();
            }
            Op::Caps { purpose, bytes } => {
                model.caps.insert(purpose, bytes);
                ledger.set_caps(&caps(&model.caps), SHARE);
            }
            Op::Reconnect { client } => {
                // The client reconnects at once; what it holds still counts for it.
                accounts[client] = ledger.client_account(name(client));
            }
            _ => {}
        }
        for purpose in 0..PURPOSES {
            assert_eq!(ledger.held(purpose_of(purpose)), model.held(purpose), "{}", purpose_of(purpose));
        }
        let in_use: u64 = model.charges.iter().map(|c| c.1).sum();
        assert_eq!(ledger.in_use(), in_use);
    }
    drop((charges, reserves));
    assert!(Purpose::ALL.into_iter().all(|p| ledger.held(p) == 0), "some memory was not released");
    assert_eq!(ledger.clients(), CLIENTS);
    drop(accounts);
    assert_eq!(ledger.clients(), 0, "a client that holds nothing is still in the ledger");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn sums_are_right_after_every_operation_and_zero_at_the_end(ops in prop::collection::vec(op(), 1..200)) {
        run(ops);
    }
}
