//! Tests of timelines from log lines.

use operate::timeline::collect;

const LOG: &str = r#"
 0.1 e1 {"at":"1","from":"steps","id":"job","samples":"2","what":"step accepted"}
 0.2 e1 {"at":"2","from":"run","id":"s1","step":"job","upstream":"u1","what":"run ended"}
 0.3 c1 {"at":"4","from":"control","id":"job","what":"step taken over"}
 0.2 c1 {"at":"3","from":"run","id":"s2","step":"other","upstream":"u1","what":"run ended"}
 no line of ours
 0.4 e2 {"at":"5","from":"front","id":"r9","status":"200","what":"answered"}
"#;

#[test]
fn the_timeline_of_a_sample_includes_its_step() {
    let events = collect("s1", LOG.lines());

    let what: Vec<_> = events.iter().map(|event| event.what.as_str()).collect();
    assert_eq!(what, ["step accepted", "run ended", "step taken over"]);
    assert_eq!(events[2].process, "c1");
}

#[test]
fn the_timeline_of_an_upstream_includes_its_runs() {
    let events = collect("u1", LOG.lines());

    assert_eq!(events.len(), 2);
    assert!(events[0].at < events[1].at);
}

#[test]
fn the_timeline_of_an_unknown_id_is_empty() {
    assert!(collect("none", LOG.lines()).is_empty());
}

// The attempts of a request that crashes upstreams have different IDs; its fingerprint connects them.
#[test]
fn the_timeline_of_a_fingerprint_includes_the_crashes_of_all_attempts() {
    let log = r#"
 0.1 e1 {"at":"1","from":"crash","id":"r1","print":"0a","upstream":"u1","what":"connection broke"}
 0.2 e2 {"at":"2","from":"crash","id":"r2","print":"0a","upstream":"u2","what":"connection broke"}
 0.3 e2 {"at":"3","from":"crash","print":"0a","crashes":3,"what":"request quarantined"}
 0.3 e2 {"at":"3","from":"crash","id":"r3","print":"0b","upstream":"u2","what":"connection broke"}
"#;

    let events = collect("0a", log.lines());

    let upstreams = events.iter().flat_map(|event| &event.fields);
    let upstreams = upstreams.filter(|(name, _)| name == "upstream");
    let upstreams: Vec<_> = upstreams.map(|(_, value)| value.as_str()).collect();
    assert_eq!((events.len(), upstreams), (3, vec!["u1", "u2"]));
}
