//! Settings: any text is parsed or rejected without a panic, and faults name
//! their place.

use std::{
    path::Path,
    time::Duration, //
};

use hoisthitch_settings::{
    SettingsFile,
    SettingsReader, //
};
use quickcheck::quickcheck;

/// Reads a number and a duration; returns the faults as text.
fn faults(text: &str) -> String {
    let file = match SettingsFile::parse(Path::new("test.ini"), text.to_owned()) {
        Ok(file) => file,
        Err(err) => return err.to_string(),
    };
    let reader = SettingsReader::new(&file);
    reader.number("a", "count", 1_u32, 1..=9);
    let limit = Duration::from_secs(10);
    reader.duration("a", "wait", Duration::ZERO, Duration::ZERO..=limit);
    match reader.finish() {
        Ok(()) => String::new(),
        Err(err) => err.to_string(),
    }
}

quickcheck! {
    fn any_text_is_read_or_refused(text: String) -> bool {
        let _ = faults(&text);
        true
    }

    fn number_is_taken_in_its_range_only(count: u32) -> bool {
        faults(&format!("[a]\ncount = {count}\n")).is_empty() == (1..=9).contains(&count)
    }
}

#[test]
fn faults_tell_file_line_key_and_remedy() {
    let text = faults("[a]\n\ncount = 10\nwait = soon\n[b]\nother = 1\n");
    let wanted = [
        "test.ini:3: [a] count: 10 is out of range; use 1 to 9",
        "test.ini:4: [a] wait: 'soon'",
        "test.ini:6: [b] other: is not a setting; remove it or mend its name",
    ];
    for wanted in wanted {
        assert!(text.contains(wanted), "no '{wanted}' in:\n{text}");
    }
}
