//! What the decision module holds in memory, estimated from what its tables have in them. Beside it, so that whoever
//! changes a table finds this; `tests/memory_usage.rs` holds it against what the allocator gave out.

use crate::interface::{DestinationId, EndpointId, LimitGroupId, MessageId};
use crate::state::{Destination, Endpoint, LimitGroup, Message, Ns, Scheduler};
use std::collections::VecDeque;

/// Bytes of what the module holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Of messages: their records, and where they stand on charts and agendas.
    pub messages: u64,
    /// Of endpoints and destinations: their records, paces and limits.
    pub endpoints: u64,
}

/// What a message takes without its order.
pub const MESSAGE_BYTES: u64 =
    entry::<(MessageId, Message)>() + entry::<MessageId>() + entry::<(Ns, MessageId)>();

impl MemoryUsage {
    pub fn total(self) -> u64 {
        self.messages + self.endpoints
    }
}

/// What an entry of a B-tree takes. A node has room for 11; where keys only rise, as numbers do, each is left behind
/// with 6, and it has its links.
const fn entry<T>() -> u64 {
    (size_of::<T>() as u64 + 2) * 11 / 6
}

/// What a small allocation takes beside its bytes.
const ALLOCATION: u64 = 16;

fn ring<T>(of: &VecDeque<T>) -> u64 {
    of.capacity() as u64 * size_of::<T>() as u64
}

impl Scheduler {
    /// What is held now. Walks all tables: some 20 ns a message and 50 ns an endpoint.
    pub fn memory_usage(&self) -> MemoryUsage {
        let key = |key: &String| key.len() as u64 + ALLOCATION;
        let mut messages = self.messages.len() as u64 * MESSAGE_BYTES;
        messages += self.messages.values().filter_map(|m| m.key.as_ref()).map(key).sum::<u64>();
        for (order, waiting) in &self.key_queues {
            messages += entry::<(String, VecDeque<MessageId>)>() + key(order) + ring(waiting);
        }
        for order in self.key_cooldowns.keys() {
            messages += entry::<(String, (MessageId, Ns))>() + key(order);
        }
        let mut endpoints = 0;
        for e in self.endpoints.values() {
            endpoints += entry::<(EndpointId, Endpoint)>() + entry::<EndpointId>();
            endpoints += e.idle_connections.capacity() as u64 * size_of::<Ns>() as u64;
            endpoints += e.calls.len() as u64 * entry::<(u64, (Ns, usize))>();
            // A first entry takes a whole node.
            endpoints += if e.calls.is_empty() { 0 } else { 11 * size_of::<(u64, (Ns, usize))>() as u64 };
        }
        for d in self.destinations.values() {
            endpoints += entry::<(DestinationId, Destination)>() + ring(&d.recent_failures);
            endpoints += d.chart.segments.capacity() as u64 * size_of::<(Ns, Ns)>() as u64;
            // The first endpoint, and the first message on chart and among the members, take a node each.
            endpoints += 11 * size_of::<EndpointId>() as u64;
            if !d.messages.is_empty() {
                endpoints += 11 * (size_of::<MessageId>() + size_of::<(Ns, MessageId)>()) as u64;
            }
        }
        for group in self.limit_groups.values() {
            endpoints += entry::<(LimitGroupId, LimitGroup)>() + ring(&group.accepted_at);
        }
        endpoints += self.agenda.len() as u64 * entry::<(Ns, DestinationId)>();
        MemoryUsage { messages, endpoints }
    }
}
