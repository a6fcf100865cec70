//! Tests of the settings of an instance.

use node::settings;
use node::settings::MachineLimits;
use yare::parameterized;

/// Settings with a section of attempts.
fn text(attempts: &str) -> String {
    format!(
        "[instance]\nname = e1\ndomain = nord\nrole = entry\naddress = 127.0.0.1\npeer = 1\n\
         [platform]\naddress = 127.0.0.1:1\n[attempts]\n{attempts}\n"
    )
}

// Guards against attempts without bounds because of a mistake in the settings.
#[parameterized(
    quantile_of_one = { "hedge_quantile = 1", "hedge_quantile", "0.5 to 0.999" },
    low_quantile = { "hedge_quantile = 0.2", "hedge_quantile", "0.5 to 0.999" },
    no_number = { "hedge_quantile = NaN", "hedge_quantile", "0.5 to 0.999" },
    negative_share = { "hedge_share = -0.1", "hedge_share", "from 0 to 1" },
    large_share = { "retry_share = 1.5", "retry_share", "from 0 to 1" },
    word = { "retry_share = few", "retry_share", "from 0 to 1" },
)]
fn settings_of_attempts_out_of_range_are_rejected(attempts: &str, key: &str, range: &str) {
    let errors = settings::read("node.ini", &text(attempts))
        .unwrap_err()
        .to_string();

    assert!(errors.contains(key) && errors.contains(range), "{errors}");
}

#[test]
fn settings_of_attempts_are_read() {
    let text = text("hedge_quantile = 0.9\nhedge_share = 0\nretry_share = 1");

    let settings = settings::read("node.ini", &text).unwrap();

    assert_eq!(settings.attempts.hedge_quantile, 0.9);
    assert_eq!(settings.attempts.hedge_share, 0.0);
    assert_eq!(settings.attempts.retry_share, 1.0);
}

// Guards against shares of a memory that a process cannot live in.
#[test]
fn too_little_memory_is_rejected() {
    let text = text("").replace("peer = 1\n", "peer = 1\nmemory_mb = 8\n");

    let errors = settings::read("node.ini", &text).unwrap_err().to_string();

    assert!(
        errors.contains("memory_mb") && errors.contains("at least 32"),
        "{errors}"
    );
}

// Guards against a process on a small machine that divides up the memory of a larger one.
#[test]
fn limits_of_the_machine_go_before_the_settings() {
    let text = text("").replace(
        "peer = 1\n",
        "peer = 1\nmemory_mb = 128\ndescriptors = 900\n",
    );
    let machine = MachineLimits {
        memory_mb: Some(88),
        descriptors: None,
    };

    let settings = settings::read("node.ini", &text).unwrap().on(machine);

    assert_eq!(settings.memory, 88 << 20);
    assert_eq!(settings.descriptors, 900);
}
