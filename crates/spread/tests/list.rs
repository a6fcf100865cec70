//! Compares the indexed list of entries with a full scan.

use std::collections::BTreeMap;
use std::sync::Arc;

use plat::Item;
use proptest::prelude::*;
use spread::List;

#[derive(Clone, Debug)]
enum Operation {
    Insert(u8, i64),
    Remove(u8),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => (0_u8..12, 1_i64..20).prop_map(|(key, rev)| Operation::Insert(key, rev)),
        1 => (0_u8..12).prop_map(Operation::Remove),
    ]
}

fn item(key: u8, rev: i64) -> Arc<Item> {
    Arc::new(Item {
        key: format!("k{key:02}"),
        value: vec![key],
        rev,
    })
}

fn sorted<'a>(items: impl Iterator<Item = &'a Arc<Item>>) -> Vec<(i64, String)> {
    let mut items: Vec<_> = items.map(|item| (item.rev, item.key.clone())).collect();
    items.sort();
    items
}

proptest! {
    /// Guards against a change that is never returned, or a removed entry that is returned.
    #[test]
    fn changes_since_a_revision_match_a_full_scan(
        operations in proptest::collection::vec(operation(), 0..60),
        from in 0_i64..20,
    ) {
        let (mut list, mut scanned) = (List::default(), BTreeMap::new());

        for operation in operations {
            match operation {
                Operation::Insert(key, rev) => {
                    list.insert(item(key, rev));
                    scanned.insert(format!("k{key:02}"), item(key, rev));
                }
                Operation::Remove(key) => {
                    let key = format!("k{key:02}");
                    prop_assert_eq!(list.remove(&key), scanned.remove(&key).is_some());
                }
            }
        }

        let newer = scanned.values().filter(|item| item.rev > from);
        prop_assert_eq!(sorted(list.since(from)), sorted(newer));
        prop_assert!(list.since(from).is_sorted_by_key(|item| item.rev));
        prop_assert!(list.iter().eq(scanned.values()));
        prop_assert_eq!(list.len(), scanned.len());
    }
}
