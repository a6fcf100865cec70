//! The store behind the protocol.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use super::messages::Blob;
use super::messages::Compare;
use super::messages::Create;
use super::messages::Event;
use super::messages::KeyValue;
use super::messages::Long;
use super::messages::Op;
use super::messages::Put;
use super::messages::Range;
use super::messages::Txn;

#[derive(Debug)]
struct Lease {
    ttl: i64,
    ends: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: i64,
    compacted: i64,
    next: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    history: Vec<(i64, Event)>,
}

impl Store {
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

    pub(crate) fn scan(&self, from: &[u8], to: &[u8]) -> impl Iterator<Item = &KeyValue> + use<'_> {
        let empty = to <= from;
        let range = self.keys.range(from.to_vec()..);
        let to = to.to_vec();
        range
            .take_while(move |(key, _)| !empty && **key < to)
            .map(|(_, kv)| kv)
    }

    pub(crate) fn range(&self, range: &Range) -> Vec<KeyValue> {
        let Some(end) = &range.range_end else {
            return self.keys.get(&range.key.0).cloned().into_iter().collect();
        };
        let most = match range.limit.0 {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let found = self.scan(&range.key.0, &end.0);
        found.take(most).cloned().collect()
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key.0);
        let created = kv.map_or(0, |kv| kv.create_revision.0);
        let modified = kv.map_or(0, |kv| kv.mod_revision.0);
        match (compare.result.as_str(), compare.target.as_str()) {
            ("EQUAL", "CREATE") => created == compare.create_revision.0,
            ("EQUAL", "MOD") => modified == compare.mod_revision.0,
            _ => false,
        }
    }

    pub(crate) fn txn(&mut self, txn: &Txn) -> bool {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let ops = match succeeded {
            true => &txn.success,
            false => &txn.failure,
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
        if let Some(put) = &op.request_put {
            self.put(put);
        }
        if let Some(range) = &op.request_delete_range {
            let keys: Vec<_> = self.range(range).into_iter().map(|kv| kv.key).collect();
            for key in keys {
                self.delete(key);
            }
        }
    }

    fn put(&mut self, put: &Put) {
        let before = self.keys.get(&put.key.0);
        let created = before.map_or(self.revision, |kv| kv.create_revision.0);
        let version = before.map_or(0, |kv| kv.version.0) + 1;
        let kv = KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            create_revision: Long(created),
            mod_revision: Long(self.revision),
            version: Long(version),
            lease: put.lease,
        };
        self.keys.insert(put.key.0.clone(), kv.clone());
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

    pub(crate) fn since(&self, from: i64, create: &Create) -> Result<Vec<Event>, i64> {
        if from > 0 && from < self.compacted {
            return Err(self.compacted);
        }
        let inside = |key: &[u8]| key >= &*create.key.0 && key < &*create.range_end.0;
        let events = self
            .history
            .iter()
            .filter(|(rev, event)| *rev >= from && inside(&event.kv.key.0));
        Ok(events.map(|(_, event)| event.clone()).collect())
    }

    pub(crate) fn grant(&mut self, ttl: i64) -> i64 {
        self.next += 1;
        let ends = Instant::now() + Duration::from_secs(ttl.max(0) as u64);
        self.leases.insert(self.next, Lease { ttl, ends });
        self.next
    }

    pub(crate) fn renew(&mut self, id: i64) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.ends = Instant::now() + Duration::from_secs(lease.ttl.max(0) as u64);
        lease.ttl
    }

    pub(crate) fn revoke(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let of_lease = self.keys.values().filter(|kv| kv.lease.0 == id);
        let keys: Vec<_> = of_lease.map(|kv| kv.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(key);
        }
    }

    pub(crate) fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ids: Vec<_> = over.map(|(id, _)| *id).collect();
        for id in ids {
            self.revoke(id);
        }
    }
}
