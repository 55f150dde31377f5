//! The reference pages on settings and the manifest document every key of the examples.

use std::collections::BTreeSet;

use jsonc_parser::{ParseOptions, parse_to_serde_value};
use rstest::rstest;
use serde_json::Value;

const MANIFEST_PAGE: &str = include_str!("../../../docs/MANIFEST.md");
const SETTINGS_PAGE: &str = include_str!("../../../docs/SETTINGS.md");

fn example_keys(text: &str) -> BTreeSet<String> {
    let value: Value = parse_to_serde_value(text, &ParseOptions::default()).unwrap();
    let mut keys = BTreeSet::new();
    collect_keys(&value, &mut keys);
    keys
}

fn collect_keys(value: &Value, keys: &mut BTreeSet<String>) {
    match value {
        Value::Object(members) => {
            for (key, value) in members {
                keys.insert(key.clone());
                collect_keys(value, keys);
            }
        }
        Value::Array(elements) => elements.iter().for_each(|value| collect_keys(value, keys)),
        _ => {}
    }
}

fn is_documented(page: &str, key: &str) -> bool {
    let ends = ["`", "[]", "."];
    let starts = ["`", "."];
    starts.iter().any(|start| {
        let mut forms = ends.iter().map(|end| format!("{start}{key}{end}"));
        forms.any(|form| page.contains(&form))
    })
}

#[rstest]
#[case::quickstart(include_str!("../../../examples/manifest.jsonc"), MANIFEST_PAGE)]
#[case::cascade(include_str!("../../../examples/cascade/manifest.jsonc"), MANIFEST_PAGE)]
#[case::quesada(include_str!("../../../examples/quesada/manifest.jsonc"), MANIFEST_PAGE)]
#[case::single_machine(include_str!("../../../examples/settings.jsonc"), SETTINGS_PAGE)]
#[case::cascade_vm(include_str!("../../../examples/cascade/settings.jsonc"), SETTINGS_PAGE)]
#[case::quesada_vm(include_str!("../../../examples/quesada/settings.jsonc"), SETTINGS_PAGE)]
fn reference_page_documents_each_key(#[case] example: &str, #[case] page: &str) {
    let undocumented: Vec<_> = example_keys(example)
        .into_iter()
        .filter(|key| !is_documented(page, key))
        .collect();

    assert!(
        undocumented.is_empty(),
        "not documented on the page: {undocumented:?}"
    );
}
