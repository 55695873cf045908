//! Settings of a daemon on the platform, as the platform renders them from the template.

use schema::{Gateway, LoadError, load_gateway};

const TEMPLATE: &str = include_str!("../../../deploy/node.yaml");
const VALUES: [(&str, &str); 9] = [
    ("node_name", "vm-1"),
    ("zone", "z0"),
    ("listen.front", "127.0.0.1:1"),
    ("listen.ready", "127.0.0.1:2"),
    ("ip", "127.0.0.1"),
    ("internal_port_range.0", "3"),
    ("internal_port_range.1", "4"),
    ("platform.address", "127.0.0.1:5"),
    ("cloud_api.address", "127.0.0.1:6"),
];
/// Times that the platform always states.
const TIMES: [(&str, &str); 3] = [
    ("bounds.grace_s", "6"),
    ("bounds.drain_ms", "7000"),
    ("heartbeat_ms", "1200"),
];

/// Fills in the values; a section whose value is missing is left out.
fn render(values: &[(&str, &str)]) -> String {
    let mut text = TEMPLATE.to_owned();
    while let Some(start) = text.find("{{#") {
        let rest = &text[start + 3..];
        let name = rest[..rest.find("}}").expect("the tag ends")].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).expect("the section ends");
        let body = text[start + name.len() + 5..end].to_owned();
        let is_known = values.iter().any(|(known, _)| *known == name);
        let body = if is_known { body } else { String::new() };
        text.replace_range(start..end + close.len(), &body);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a value is missing: {text}");
    text
}

/// Loads the settings that the platform renders with these values besides `VALUES`; they go before
/// `TIMES`.
fn load(name: &str, more: &[(&str, &str)]) -> Result<Gateway, LoadError> {
    let values: Vec<_> = [&VALUES[..], more, &TIMES].concat();
    let file = format!("hollyreach-gateway-{}-{name}.yaml", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, render(&values)).expect("the temporary file can be written");
    let result = load_gateway(&path.display().to_string());
    std::fs::remove_file(&path).expect("the temporary file can be removed");
    result
}

/// Guards against daemons that do not start on a platform without bounds for the rate limits, and
/// against bounds that are ignored.
#[test]
fn the_bounds_of_rate_limits_are_optional() {
    let settings = load("without", &[]).expect("valid");
    let bounds = |s: &Gateway| [s.quota_window_s, s.quota_overage, s.quota_slack];
    assert_eq!(bounds(&settings).map(|n| n.to_string()), ["5", "0.1", "20"]);
    let given = [
        ("bounds.quota_window_s", "2.5"),
        ("bounds.quota_overage", "0"),
        ("bounds.quota_slack", "30"),
    ];
    let settings = load("with", &given).expect("valid");
    assert_eq!(bounds(&settings).map(|n| n.to_string()), ["2.5", "0", "30"]);
}

/// Guards against rate limits that are divided on some VMs only, or among data centres to which this
/// VM does not belong.
#[test]
fn the_data_centers_of_rate_limits_include_the_own_one() {
    let settings = load("undivided", &[]).expect("valid");
    assert_eq!(settings.quota_data_centers.as_deref(), Some(""));
    let file = format!("hollyreach-gateway-{}-centers.yaml", std::process::id());
    let path = std::env::temp_dir().join(file);
    for (centers, is_valid) in [("z0 z1 z2", true), ("z1 z2", false)] {
        let rendered = render(&[&VALUES[..], &TIMES].concat());
        let with_centers = rendered.replace(
            "quota_data_centers: \"\"",
            &format!("quota_data_centers: \"{centers}\""),
        );
        std::fs::write(&path, with_centers).expect("the temporary file can be written");
        let result = load_gateway(&path.display().to_string());
        assert_eq!(result.is_ok(), is_valid, "{centers}");
    }
    std::fs::remove_file(&path).expect("the temporary file can be removed");
}

/// Guards against a window of no length, in which no operation may run, and a negative tolerance.
#[test]
fn impossible_bounds_are_refused() {
    for (i, (name, value)) in [
        ("bounds.quota_window_s", "0"),
        ("bounds.quota_window_s", "-1"),
        ("bounds.quota_window_s", ".nan"),
        ("bounds.quota_overage", "-0.1"),
        ("bounds.quota_slack", ".inf"),
    ]
    .into_iter()
    .enumerate()
    {
        let error = load(&format!("invalid{i}"), &[(name, value)]).err();
        let error = error.map(|e| e.to_string()).unwrap_or_default();
        let setting = name.trim_start_matches("bounds.");
        assert!(error.contains(setting), "{name} {value}: {error:?}");
    }
}

/// Guards against a daemon that does not start on a platform whose bounds are fractions, or that takes a
/// short grace period for a long one.
#[test]
fn bounds_may_be_fractions() {
    let times = |s: &Gateway| [s.grace_ms, s.drain_ms, s.heartbeat_ms];
    let whole = load("whole", &[]).expect("valid");
    assert_eq!(times(&whole), [6000, 7000, 1200]);
    let given = [
        ("bounds.grace_s", "5.5"),
        ("bounds.drain_ms", "7000.25"),
        ("heartbeat_ms", "1200.0"),
    ];
    let fractions = load("fractions", &given).expect("valid");
    assert_eq!(times(&fractions), [5500, 7001, 1200]);
    let short = load("short", &[("bounds.grace_s", "1")]).expect("valid");
    assert_eq!(short.grace_ms, 1000);
    for invalid in ["-1", "0.2", "x"] {
        assert!(load("invalid", &[("bounds.grace_s", invalid)]).is_err());
    }
}
