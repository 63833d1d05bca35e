//! The report page from recorded figures.

use std::path::PathBuf;

use buckthorn_lab::report;

/// Folder of its own for a test.
fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("buckthorn-report-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the folder can be made");
    dir
}

#[test]
fn a_page_shows_what_was_measured_and_says_what_was_not() {
    let dir = folder("page");
    let scale = r#"{"points":[
        {"nodes":9,"converge_p50_s":0.01,"converge_worst_s":0.02,"bytes_per_s":1140.0},
        {"nodes":30,"converge_p50_s":0.02,"converge_worst_s":0.05,"bytes_per_s":1137.0}],
        "note":"<b>not markup</b>"}"#;
    std::fs::write(dir.join("scale.json"), scale).expect("the file can be written");
    let page = report::render(&dir).expect("the page is made");
    assert!(
        page.contains("<svg") && page.contains("1137.0000"),
        "{page}"
    );
    assert!(page.contains("&lt;b&gt;not markup&lt;/b&gt;"));
    assert!(page.contains("Not measured. Command: cargo run --release -p buckthorn_lab -- moves"));
    assert!(!page.contains("http://www.w3.org/1999/xlink") && !page.contains("<script"));
    std::fs::remove_dir_all(dir).expect("the folder can be removed");
}

#[test]
fn a_folder_without_figures_or_with_broken_ones_is_an_error() {
    let dir = folder("empty");
    let error = report::render(&dir).expect_err("there is nothing to show");
    assert!(
        error.to_string().contains("holds no measurement"),
        "{error}"
    );
    std::fs::write(dir.join("moves.json"), "{").expect("the file can be written");
    let error = report::render(&dir).expect_err("the file is broken");
    assert!(
        error.to_string().contains("moves.json is no JSON"),
        "{error}"
    );
    std::fs::remove_dir_all(dir).expect("the folder can be removed");
}
