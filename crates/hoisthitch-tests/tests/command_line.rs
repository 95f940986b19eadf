//! The command line: the examples are valid, errors name file, line and key, and exit codes are
//! as documented.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    TestRequest,
    cases,
    run_command, //
};

cases! {
    all_example_settings_check => examples_check();
    example_tables_keep_the_rules => example_tables();
    faults_name_file_line_and_key => faults_named();
    wrong_words_end_with_code_2 => wrong_words();
    lost_race_ends_with_code_3 => lost_race();
    unreachable_entry_ends_with_code_1 => unreachable();
    table_goes_out_as_csv_and_comes_back => csv_round_trip();
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn example_files(ending: &str) -> Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for folder in fs::read_dir(examples())? {
        let folder = folder?.path();
        if folder.is_dir() {
            for file in fs::read_dir(folder)? {
                let file = file?.path();
                if file.extension().is_some_and(|found| found == ending) {
                    files.push(file);
                }
            }
        }
    }
    ensure!(!files.is_empty(), "no examples");
    Ok(files)
}

async fn examples_check() -> Result<()> {
    for file in example_files("ini")? {
        let path = file.display().to_string();
        let run = run_command(&["check", &path]).await?;
        ensure!(run.code == Some(0), "{}", run.text);
    }
    Ok(())
}

async fn example_tables() -> Result<()> {
    let fleet = Fleet::start(FleetPlan {
        pools: Vec::new(),
        entries: 1,
        ..FleetPlan::default()
    })
    .await?;
    let settings = operator_settings(&fleet)?;
    for file in example_files("csv")? {
        let path = file.display().to_string();
        let kind = if path.ends_with("pools.csv") {
            "pool"
        } else {
            "team"
        };
        let args = [
            "--settings",
            &settings,
            "table",
            "import",
            kind,
            &path,
            "--dry-run",
        ];
        let run = run_command(&args).await?;
        ensure!(run.code == Some(0), "{path}: {}", run.text);
    }
    Ok(())
}

/// Writes settings with which the command line uses a fleet's first entry; returns their path.
fn operator_settings(fleet: &Fleet) -> Result<String> {
    let path = fleet.folder().join("hoisthitch.ini");
    let entry = fleet.operator_url(0, "");
    let text = format!("[operator]\nentry = {entry}\ntoken = test-token-of-operators\n");
    fs::write(&path, text)?;
    Ok(path.display().to_string())
}

async fn faults_named() -> Result<()> {
    let text = "[node]\nname = entry-1\nhall = athens\n\n[callers]\nlisten = nowhere\nthreads = 900\nspeed = 3\n";
    let path = std::env::temp_dir().join(format!("hoisthitch-faults-{}.ini", std::process::id()));
    fs::write(&path, text)?;
    let run = run_command(&["check", &path.display().to_string()]).await?;
    fs::remove_file(&path)?;
    ensure!(run.code == Some(1));
    for wanted in [
        ".ini:6: [callers] listen:",
        ".ini:7: [callers] threads: 900 is out of range; use 1 to 64",
        ".ini:8: [callers] speed: is not a setting",
        "[operators] token: is missing",
        "[platform] store: is missing",
    ] {
        ensure!(run.text.contains(wanted), "no '{wanted}' in:\n{}", run.text);
    }
    Ok(())
}

async fn wrong_words() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let settings = operator_settings(&fleet)?;
    let run = run_command(&[
        "--settings",
        &settings,
        "table",
        "set",
        "pool",
        "nothing",
        "a=1",
    ])
    .await?;
    ensure!(run.code == Some(2), "{:?} {}", run.code, run.text);
    ensure!(run.text.contains("table show"), "no remedy: {}", run.text);
    let unknown = run_command(&["nonsense"]).await?;
    ensure!(
        unknown.code == Some(2),
        "{:?} {}",
        unknown.code,
        unknown.text
    );
    let help = run_command(&["--help"]).await?;
    ensure!(
        help.code == Some(0) && help.text.contains("Examples:"),
        "{}",
        help.text
    );
    Ok(())
}

async fn lost_race() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let settings = operator_settings(&fleet)?;
    let args = ["--settings", &settings, "table", "set", "pool", "quotes"];
    let first = run_command(&[&args[..], &["queue_limit=10", "--revision", "1"]].concat()).await?;
    ensure!(first.code == Some(0), "{}", first.text);
    let second = run_command(&[&args[..], &["queue_limit=20", "--revision", "1"]].concat()).await?;
    ensure!(second.code == Some(3), "{:?} {}", second.code, second.text);
    Ok(())
}

async fn unreachable() -> Result<()> {
    let path = std::env::temp_dir().join(format!("hoisthitch-nobody-{}.ini", std::process::id()));
    fs::write(
        &path,
        "[operator]\nentry = http://127.0.0.1:1\ntoken = test-token-of-operators\n",
    )?;
    let run = run_command(&["--settings", &path.display().to_string(), "status"]).await?;
    fs::remove_file(&path)?;
    ensure!(
        run.code == Some(1) && run.text.contains("127.0.0.1:1"),
        "{}",
        run.text
    );
    Ok(())
}

async fn csv_round_trip() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let settings = operator_settings(&fleet)?;
    let exported = run_command(&["--settings", &settings, "table", "export", "pool"]).await?;
    ensure!(exported.code == Some(0), "{}", exported.text);
    let changed = exported
        .text
        .replace("quotes,1,quotes,8", "quotes,1,quotes,6");
    ensure!(changed != exported.text, "{}", exported.text);
    let path = fleet.folder().join("pools.csv");
    fs::write(&path, changed)?;
    let path = path.display().to_string();
    let imported =
        run_command(&["--settings", &settings, "table", "import", "pool", &path]).await?;
    ensure!(imported.code == Some(0), "{}", imported.text);
    let table = fleet.table(0).await?;
    ensure!(table.pool("quotes").ok_or_eyre("row")?.slots_per_runner == 6);
    let ready = TestRequest::get(&fleet.operator_url(0, "/ready"))
        .send()
        .await?;
    ensure!(ready.status == 200);
    Ok(())
}
