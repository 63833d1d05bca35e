//! Report page rendered from JSON files of results.

use std::path::PathBuf;

use buckthorn_lab::report;

/// Creates a separate temporary directory for a test.
fn create_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("buckthorn-report-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the directory can be created");
    dir
}

#[test]
fn the_page_shows_results_and_the_commands_of_missing_ones() {
    let dir = create_dir("page");
    let scale = r#"{"points":[
        {"nodes":9,"converge_p50_s":0.01,"converge_worst_s":0.02,"bytes_per_s":1140.0},
        {"nodes":30,"converge_p50_s":0.02,"converge_worst_s":0.05,"bytes_per_s":1137.0}],
        "note":"<b>not markup</b>"}"#;
    std::fs::write(dir.join("scale.json"), scale).expect("the file can be written");
    let page = report::render(&dir).expect("the page is rendered");
    assert!(
        page.contains("<svg") && page.contains("1137.0000"),
        "{page}"
    );
    assert!(page.contains("&lt;b&gt;not markup&lt;/b&gt;"));
    assert!(page.contains("Not measured. Command: cargo run --release -p buckthorn_lab -- moves"));
    assert!(!page.contains("http://www.w3.org/1999/xlink") && !page.contains("<script"));
    std::fs::remove_dir_all(dir).expect("the directory can be removed");
}

#[test]
fn a_directory_without_results_or_with_malformed_json_is_an_error() {
    let dir = create_dir("empty");
    let error = report::render(&dir).expect_err("there is nothing to show");
    assert!(
        error.to_string().contains("holds no measurement"),
        "{error}"
    );
    std::fs::write(dir.join("moves.json"), "{").expect("the file can be written");
    let error = report::render(&dir).expect_err("the file is malformed");
    assert!(
        error.to_string().contains("moves.json is not JSON"),
        "{error}"
    );
    std::fs::remove_dir_all(dir).expect("the directory can be removed");
}
