//! What the cases of the review share: the project's stand-in for the store, processes of the program,
//! a small HTTP reader, clients and a record.

#[allow(dead_code)]
#[path = "../../../platform/tests/common/store.rs"]
pub mod store;

pub mod case;
pub mod http1;
pub mod node;
