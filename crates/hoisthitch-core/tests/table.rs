//! The operators' table: any text is parsed or refused without a panic, and no
//! edit violates a rule or overwrites an accepted edit of another operator.

use hoisthitch_core::{
    EditError,
    PaidPriority,
    PolicyTable,
    RowEdit,
    TeamRow,
    WriterStamp, //
};
use quickcheck::quickcheck;

fn team(name: u8, weight: u32, revision: u64) -> TeamRow {
    TeamRow {
        name: format!("team-{name}"),
        revision,
        priority: PaidPriority::Urgent,
        weight,
        rate_limit: 10,
        in_flight_limit: 10,
    }
}

fn stamp(operation: u64) -> WriterStamp {
    WriterStamp {
        writer: "test".to_owned(),
        operation,
    }
}

/// A table with two teams, at revision 1.
fn table() -> PolicyTable {
    let rows = [team(1, 1, 0), team(2, 1, 0)].map(RowEdit::PutTeam);
    let edited = PolicyTable::default().with_edits(&rows, stamp(1));
    edited.unwrap_or_default()
}

quickcheck! {
    fn any_text_is_parsed_or_refused(text: String) -> bool {
        match serde_json::from_str::<PolicyTable>(&text) {
            Ok(table) => { let _ = table.check(); true }
            Err(_) => true,
        }
    }

    fn damaged_table_is_parsed_or_refused(at: usize, byte: u8) -> bool {
        let mut text = serde_json::to_vec(&table()).unwrap();
        let at = at % text.len();
        text[at] = byte;
        if let Ok(table) = serde_json::from_slice::<PolicyTable>(&text) {
            let _ = table.check();
        }
        true
    }

    fn any_cell_is_accepted_or_refused(column: String, value: String) -> bool {
        let row = team(1, 1, 1);
        match row.with_cell(&column, &value) {
            Ok(changed) => changed.name == row.name && changed.revision == row.revision,
            Err(EditError::Column { .. }) => true,
            Err(_) => false,
        }
    }

    fn edited_table_keeps_the_rules(name: u8, weight: u32, revision: u64) -> bool {
        let table = table();
        match table.with_edits(&[RowEdit::PutTeam(team(name, weight, revision))], stamp(2)) {
            Ok(edited) => edited.check().is_ok() && edited.revision == table.revision + 1,
            Err(_) => true,
        }
    }

    fn second_edit_of_the_same_revision_is_refused(first: u16, second: u16) -> bool {
        let read = table();
        let weight = |weight: u16| u32::from(weight % 1_000) + 1;
        let mine = RowEdit::PutTeam(team(1, weight(first), 1));
        let theirs = RowEdit::PutTeam(team(1, weight(second), 1));
        let other = RowEdit::PutTeam(team(2, weight(second), 1));
        let accepted = read.with_edits(&[mine], stamp(2)).unwrap();
        let refused = accepted.with_edits(&[theirs], stamp(3));
        let merged = accepted.with_edits(&[other], stamp(4));
        matches!(refused, Err(EditError::Conflict { .. }))
            && merged.is_ok_and(|merged| {
                merged.team("team-1").is_some_and(|row| row.weight == weight(first))
            })
    }
}
