//! Estimates the scheduler's memory usage from the sizes of its tables. Update it with any change to a table;
//! `tests/memory_usage.rs` compares it with what the allocator handed out.

use crate::interface::{DestinationId, EndpointId, LimitGroupId, MessageId};
use crate::state::{Destination, Endpoint, LimitGroup, Message, Ns, Scheduler};
use std::collections::VecDeque;

/// Estimated memory usage in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Messages, with their entries in charts and sets.
    pub messages: u64,
    /// Endpoints, destinations and limit groups.
    pub endpoints: u64,
}

/// Bytes for a message without its key.
pub const MESSAGE_BYTES: u64 =
    entry::<(MessageId, Message)>() + entry::<MessageId>() + entry::<(Ns, MessageId)>();

impl MemoryUsage {
    pub fn total(self) -> u64 {
        self.messages + self.endpoints
    }
}

/// Bytes for an entry of a B-tree, links included. A node has room for 11 entries; with ascending keys, as
/// numbers are, each full node is split and keeps 6.
const fn entry<T>() -> u64 {
    (size_of::<T>() as u64 + 2) * 11 / 6
}

/// Overhead of a small allocation in bytes.
const ALLOCATION: u64 = 16;

fn ring<T>(of: &VecDeque<T>) -> u64 {
    of.capacity() as u64 * size_of::<T>() as u64
}

impl Scheduler {
    /// Estimates the current memory usage. Scans all tables: about 20 ns per message and 50 ns per endpoint.
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
            // The first entry allocates a whole node.
            endpoints += if e.calls.is_empty() { 0 } else { 11 * size_of::<(u64, (Ns, usize))>() as u64 };
        }
        for d in self.destinations.values() {
            endpoints += entry::<(DestinationId, Destination)>() + ring(&d.recent_failures);
            endpoints += d.chart.segments.capacity() as u64 * size_of::<(Ns, Ns)>() as u64;
            // The first endpoint, and the first message in the chart and in the set, allocate a node each.
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
