//! Stories from log lines.

use operate::story::tell;

const LOG: &str = r#"
 0.1 e1 {"at":"1","from":"steps","id":"job","samples":"2","what":"step accepted"}
 0.2 e1 {"at":"2","from":"run","id":"s1","step":"job","upstream":"u1","what":"run ended"}
 0.3 c1 {"at":"4","from":"control","id":"job","what":"step taken over"}
 0.2 c1 {"at":"3","from":"run","id":"s2","step":"other","upstream":"u1","what":"run ended"}
 no line of ours
 0.4 e2 {"at":"5","from":"front","id":"r9","status":"200","what":"answered"}
"#;

#[test]
fn the_story_of_a_sample_has_its_step() {
    let story = tell("s1", LOG.lines());

    let what: Vec<_> = story.iter().map(|line| line.what.as_str()).collect();
    assert_eq!(what, ["step accepted", "run ended", "step taken over"]);
    assert_eq!(story[2].process, "c1");
}

#[test]
fn the_story_of_an_upstream_has_its_runs() {
    let story = tell("u1", LOG.lines());

    assert_eq!(story.len(), 2);
    assert!(story[0].at < story[1].at);
}

#[test]
fn what_nobody_wrote_about_has_no_story() {
    assert!(tell("none", LOG.lines()).is_empty());
}

// Each attempt of a request that crashes upstreams has an id of its own; what it asks for joins them.
#[test]
fn the_story_of_a_request_that_comes_again_has_its_crashes() {
    let log = r#"
 0.1 e1 {"at":"1","from":"crash","id":"r1","print":"0a","upstream":"u1","what":"connection broke"}
 0.2 e2 {"at":"2","from":"crash","id":"r2","print":"0a","upstream":"u2","what":"connection broke"}
 0.3 e2 {"at":"3","from":"crash","print":"0a","crashes":3,"what":"request quarantined"}
 0.3 e2 {"at":"3","from":"crash","id":"r3","print":"0b","upstream":"u2","what":"connection broke"}
"#;

    let story = tell("0a", log.lines());

    let upstreams = story.iter().flat_map(|line| &line.fields);
    let upstreams = upstreams.filter(|(name, _)| name == "upstream");
    let upstreams: Vec<_> = upstreams.map(|(_, value)| value.as_str()).collect();
    assert_eq!((story.len(), upstreams), (3, vec!["u1", "u2"]));
}
