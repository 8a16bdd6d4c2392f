//! The pages describe every field, code and header.

use std::fs;
use std::path::Path;

use chicoryloom_wire::caller::Code;
use chicoryloom_wire::header;
use rstest::rstest;
use serde_json::Value;

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    fs::read_to_string(root.join(path)).unwrap()
}

/// Returns a page's table row for a name in backticks.
fn row<'a>(page: &'a str, name: &str) -> &'a str {
    let start = format!("| `{name}` |");
    let row = page.lines().find(|line| line.starts_with(&start));
    row.unwrap_or_else(|| panic!("{name} has no row"))
}

/// Collects the dotted paths of a schema's fields with their defaults.
fn fields(schema: &Value, part: &Value, prefix: &str, found: &mut Vec<(String, Option<Value>)>) {
    let Some(properties) = part["properties"].as_object() else { return };
    for (name, property) in properties {
        let path = format!("{prefix}{name}");
        let reference = |value: &Value| {
            let name = value["$ref"].as_str()?.rsplit('/').next()?.to_owned();
            Some(schema["definitions"][name].clone())
        };
        if let Some(section) = reference(property) {
            fields(schema, &section, &format!("{path}."), found);
            continue;
        }
        found.push((path.clone(), property.get("default").cloned()));
        if let Some(element) = reference(&property["items"]) {
            fields(schema, &element, &format!("{path}[]."), found);
        }
    }
}

fn shown(default: Option<&Value>) -> String {
    match default {
        None => "required".to_owned(),
        Some(Value::String(text)) if text.is_empty() => "empty".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(_)) => "empty".to_owned(),
        Some(other) => other.to_string(),
    }
}

#[rstest]
#[case("settings", "docs/SETTINGS.md", 25)]
#[case("document", "docs/DOCUMENTS.md", 20)]
fn every_field_has_a_row_with_its_default(
    #[case] schema: &str,
    #[case] page: &str,
    #[case] least: usize,
) {
    let schema = read(&format!("chicoryloom_wire/schema/{schema}.json"));
    let schema: Value = serde_json::from_str(&schema).unwrap();
    let page = read(page);
    let mut found = Vec::new();
    fields(&schema, &schema, "", &mut found);
    assert!(found.len() >= least, "{found:?}");
    for (path, default) in found {
        let row = row(&page, &path);
        let last = row.trim_end_matches('|').rsplit('|').next().unwrap().trim();
        assert_eq!(last, shown(default.as_ref()), "default of {path}");
    }
}

#[test]
fn every_code_has_a_row_with_its_status() {
    let page = read("docs/CALLERS.md");
    for code in Code::ALL {
        let row = row(&page, code.as_str());
        assert!(row.contains(&format!("| {} |", code.status())), "{row}");
    }
}

#[test]
fn every_header_of_targets_is_described() {
    let page = read("docs/TARGETS.md");
    for name in [
        header::WORKSPACE,
        header::REQUEST_ID,
        header::DEADLINE_MS,
        header::NOT_RUN,
        header::DRAINING,
    ] {
        assert!(page.contains(&format!("| `{name}")), "{name}");
    }
}
