//! Keys under which steps are stored at the platform.

/// Prefix of the heads of all steps.
pub const HEADS_PREFIX: &str = "snipeway/head/";

/// Maximum length of a step name in bytes: platforms accept keys of 200 bytes.
const MAX_NAME_BYTES: usize = 100;

/// Returns whether a step name can be part of a key.
///
/// # Examples
///
/// ```
/// assert!(batch::keys::is_valid_name("7c41e09b52d6a3f8"));
/// assert!(!batch::keys::is_valid_name("../a"));
/// ```
pub fn is_valid_name(step: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !step.is_empty() && step.len() <= MAX_NAME_BYTES && step.bytes().all(allowed)
}

/// The key of a step's head.
pub fn head(step: &str) -> String {
    format!("{HEADS_PREFIX}{step}")
}

/// The step whose head is stored under a key, or [`None`] if it is not the key of a head.
pub fn step_of_head(key: &str) -> Option<&str> {
    key.strip_prefix(HEADS_PREFIX)
}

/// The key that marks a step as ended.
pub fn end(step: &str) -> String {
    format!("snipeway/end/{step}")
}

/// Prefix of the parts of a step's samples.
pub fn spec_prefix(step: &str) -> String {
    format!("snipeway/spec/{step}/")
}

/// The key of one part of a step's samples.
pub fn part(step: &str, part: usize) -> String {
    format!("snipeway/spec/{step}/{part:04}")
}

/// Prefix of the segments of a step's results.
pub fn segments_prefix(step: &str) -> String {
    format!("snipeway/result/{step}/")
}

/// The key of the segment of results that starts at position `first`. The position in the key lets
/// a reader find the results from any position on without reading those before it.
pub fn segment(step: &str, first: u32) -> String {
    format!("snipeway/result/{step}/{first:06}")
}

/// The position at which the segment stored under a key starts.
///
/// # Examples
///
/// ```
/// use batch::keys;
///
/// assert_eq!(keys::segment_start("job", &keys::segment("job", 41)), Some(41));
/// assert_eq!(keys::segment_start("job", &keys::head("job")), None);
/// ```
pub fn segment_start(step: &str, key: &str) -> Option<u32> {
    key.strip_prefix(&segments_prefix(step))?.parse().ok()
}

/// Prefix of the drafts of a step's incomplete samples.
pub fn drafts_prefix(step: &str) -> String {
    format!("snipeway/draft/{step}/")
}

/// The key of the draft deltas that were written with segment `seq`.
pub fn draft(step: &str, seq: u32) -> String {
    format!("snipeway/draft/{step}/{seq:06}")
}

/// The number of the segment with which the draft deltas stored under a key were written.
pub fn draft_seq(step: &str, key: &str) -> Option<u32> {
    key.strip_prefix(&drafts_prefix(step))?.parse().ok()
}
