//! Tests of the registry of adapters and of the validation of adapter options.

use std::time::Duration;

use rstest::rstest;
use verbenahead_services::{
    Error, HttpPlatform, HttpPlatformOptions, PlatformOptions, PlatformRegistry, Secret,
    registry::HTTP_ADAPTER,
};

fn options() -> HttpPlatformOptions {
    HttpPlatformOptions::default()
}

fn rejected_option(options: HttpPlatformOptions) -> Option<&'static str> {
    match HttpPlatform::try_new(options) {
        Err(Error::InvalidOption { option, .. }) => Some(option),
        _ => None,
    }
}

#[test]
fn the_default_registry_has_the_http_adapter() {
    let registry = PlatformRegistry::default();

    let kinds: Vec<&str> = registry.kinds().collect();
    let platform = registry.connect(HTTP_ADAPTER, &PlatformOptions::default());

    assert_eq!(kinds, [HTTP_ADAPTER]);
    assert!(platform.is_ok());
}

#[test]
fn an_unknown_adapter_is_an_error() {
    let registry = PlatformRegistry::default();

    let platform = registry.connect("htpt", &PlatformOptions::default());

    assert_eq!(platform.err(), Some(Error::unknown_adapter("htpt")));
}

#[test]
fn a_registered_adapter_is_used() {
    let mut registry = PlatformRegistry::default();
    registry.register("broken", |_| Err(Error::unavailable("table", "always")));

    let platform = registry.connect("broken", &PlatformOptions::default());

    assert_eq!(platform.err(), Some(Error::unavailable("table", "always")));
}

#[rstest]
#[case::usable(options(), None)]
#[case::connect_timeout_too_long(
    HttpPlatformOptions { connect_timeout: Duration::from_secs(2), ..options() },
    Some("connect_timeout"),
)]
#[case::no_connections(
    HttpPlatformOptions { max_connections: 0, ..options() },
    Some("max_connections"),
)]
#[case::secret_with_a_line_break(
    HttpPlatformOptions { secret: Some(Secret::from("a\nb".to_owned())), ..options() },
    Some("secret"),
)]
fn invalid_options_are_rejected(
    #[case] options: HttpPlatformOptions,
    #[case] expected: Option<&'static str>,
) {
    assert_eq!(rejected_option(options), expected);
}

#[test]
fn a_secret_is_not_printed() {
    let options = HttpPlatformOptions {
        secret: Some(Secret::from("hunter2".to_owned())),
        ..options()
    };

    let printed_options = format!("{options:?}");
    let platform = HttpPlatform::try_new(options);
    let printed_platform = platform.map(|platform| format!("{platform:?}"));

    assert!(!printed_options.contains("hunter2"), "{printed_options}");
    assert!(printed_platform.is_ok_and(|text| !text.contains("hunter2")));
}
