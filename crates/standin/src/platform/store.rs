//! Revisioned keys, leases and the history of changes, in memory.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use super::messages::Blob;
use super::messages::Compare;
use super::messages::Event;
use super::messages::KeyValue;
use super::messages::Long;
use super::messages::Op;
use super::messages::PutRequest;
use super::messages::RangeRequest;
use super::messages::TxnRequest;
use super::messages::WatchCreateRequest;

#[derive(Debug)]
struct Lease {
    ttl: i64,
    expires_at: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct KeyValueStore {
    revision: i64,
    /// The lowest revision whose events are kept; 0 without a compaction.
    compacted: i64,
    last_lease_id: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    /// Events with their revisions, in order of revision.
    history: Vec<(i64, Event)>,
}

impl KeyValueStore {
    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    pub(crate) fn header(&self) -> serde_json::Value {
        json!({ "revision": self.revision.to_string() })
    }

    pub(crate) fn compact(&mut self) {
        self.compacted = self.revision + 1;
        self.history.clear();
    }

    /// Iterates over the keys from `from` to `to`, which is exclusive.
    pub(crate) fn scan(&self, from: &[u8], to: &[u8]) -> impl Iterator<Item = &KeyValue> + use<'_> {
        let is_empty = to <= from;
        let range = self.keys.range(from.to_vec()..);
        let to = to.to_vec();
        range
            .take_while(move |(key, _)| !is_empty && **key < to)
            .map(|(_, kv)| kv)
    }

    pub(crate) fn range(&self, request: &RangeRequest) -> Vec<KeyValue> {
        let Some(end) = &request.range_end else {
            return self.keys.get(&request.key.0).cloned().into_iter().collect();
        };
        let max_items = match request.limit.0 {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let items = self.scan(&request.key.0, &end.0);
        items.take(max_items).cloned().collect()
    }

    /// Returns whether a comparison is true. Only EQUAL of CREATE or MOD is supported; any other comparison is false.
    fn is_met(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key.0);
        let created = kv.map_or(0, |kv| kv.create_revision.0);
        let modified = kv.map_or(0, |kv| kv.mod_revision.0);
        match (compare.result.as_str(), compare.target.as_str()) {
            ("EQUAL", "CREATE") => created == compare.create_revision.0,
            ("EQUAL", "MOD") => modified == compare.mod_revision.0,
            _ => false,
        }
    }

    /// Applies a transaction and returns whether its comparisons were true.
    pub(crate) fn txn(&mut self, request: &TxnRequest) -> bool {
        let succeeded = request.compare.iter().all(|compare| self.is_met(compare));
        let ops = match succeeded {
            true => &request.success,
            false => &request.failure,
        };
        if !ops.is_empty() {
            self.revision += 1;
        }
        for op in ops {
            self.apply(op);
        }
        succeeded
    }

    fn apply(&mut self, op: &Op) {
        if let Some(request) = &op.request_put {
            self.put(request);
        }
        if let Some(request) = &op.request_delete_range {
            let keys: Vec<_> = self.range(request).into_iter().map(|kv| kv.key).collect();
            for key in keys {
                self.delete(key);
            }
        }
    }

    fn put(&mut self, request: &PutRequest) {
        let previous = self.keys.get(&request.key.0);
        let created = previous.map_or(self.revision, |kv| kv.create_revision.0);
        let version = previous.map_or(0, |kv| kv.version.0) + 1;
        let kv = KeyValue {
            key: request.key.clone(),
            value: request.value.clone(),
            create_revision: Long(created),
            mod_revision: Long(self.revision),
            version: Long(version),
            lease: request.lease,
        };
        self.keys.insert(request.key.0.clone(), kv.clone());
        let kind = None;
        self.history.push((self.revision, Event { kind, kv }));
    }

    fn delete(&mut self, key: Blob) {
        if self.keys.remove(&key.0).is_none() {
            return;
        }
        let kv = KeyValue {
            key,
            mod_revision: Long(self.revision),
            ..KeyValue::default()
        };
        let kind = Some("DELETE");
        self.history.push((self.revision, Event { kind, kv }));
    }

    /// Returns the events of a watch from a revision on; 0 stands for all that are kept.
    ///
    /// # Errors
    ///
    /// Returns the lowest revision that is available if the requested one has been compacted.
    pub(crate) fn events_since(
        &self,
        from: i64,
        request: &WatchCreateRequest,
    ) -> Result<Vec<Event>, i64> {
        if from > 0 && from < self.compacted {
            return Err(self.compacted);
        }
        let is_in_range = |key: &[u8]| key >= &*request.key.0 && key < &*request.range_end.0;
        let events = self
            .history
            .iter()
            .filter(|(rev, event)| *rev >= from && is_in_range(&event.kv.key.0));
        Ok(events.map(|(_, event)| event.clone()).collect())
    }

    /// Grants a lease of `ttl` seconds and returns its id.
    pub(crate) fn grant(&mut self, ttl: i64) -> i64 {
        self.last_lease_id += 1;
        let expires_at = Instant::now() + Duration::from_secs(ttl.max(0) as u64);
        self.leases
            .insert(self.last_lease_id, Lease { ttl, expires_at });
        self.last_lease_id
    }

    /// Renews a lease and returns its duration in seconds; 0 if it does not exist.
    pub(crate) fn renew(&mut self, id: i64) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at = Instant::now() + Duration::from_secs(lease.ttl.max(0) as u64);
        lease.ttl
    }

    /// Ends a lease and deletes its keys in one revision.
    pub(crate) fn revoke(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let attached = self.keys.values().filter(|kv| kv.lease.0 == id);
        let keys: Vec<_> = attached.map(|kv| kv.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(key);
        }
    }

    /// Revokes all leases that have expired.
    pub(crate) fn expire(&mut self) {
        let now = Instant::now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let ids: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            self.revoke(id);
        }
    }
}
