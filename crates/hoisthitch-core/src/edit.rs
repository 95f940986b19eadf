//! Edits of the operators' table, one row at a time.
//!
//! An edit carries the row's revision that the operator read (optimistic
//! locking). It is refused if the row was changed since, or if the edited table
//! violates a rule.

use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use serde_json::Value;
use thiserror::Error;

use crate::table::{
    CellError,
    PolicyTable,
    PoolRow,
    TeamRow,
    WriterStamp, //
};

/// An operator's change of one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowEdit {
    /// Adds or replaces a pool's row.
    PutPool(PoolRow),
    /// Adds or replaces a team's row.
    PutTeam(TeamRow),
    /// Removes the pool's row with the name, if its revision is the given one.
    RemovePool(String, u64),
    /// Removes the team's row with the name, if its revision is the given one.
    RemoveTeam(String, u64),
}

/// Why an edit was not applied.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EditError {
    /// The row was changed after the operator read it.
    #[error(
        "row {row} was changed at revision {current} after you read revision {read}; yours: {yours}; theirs: {theirs}; read the row again and repeat the edit"
    )]
    Conflict {
        /// Name of the row.
        row: String,
        /// Revision of the row that the operator read.
        read: u64,
        /// Current revision of the row.
        current: u64,
        /// The edited row.
        yours: String,
        /// The current row.
        theirs: String,
    },
    /// The row does not exist.
    #[error("row {0} does not exist; 'hoisthitch table show' lists the rows")]
    Missing(String),
    /// The column does not exist or does not accept the value.
    #[error(
        "row {row}, column {column}: {fault}; 'hoisthitch table show --json' shows the columns"
    )]
    Column {
        /// Name of the row.
        row: String,
        /// Name of the column.
        column: String,
        /// What is wrong.
        fault: String,
    },
    /// The edited table would violate a rule.
    #[error("{}", join_lines(.0))]
    Refused(Vec<CellError>),
}

impl PolicyTable {
    /// Returns a copy of the table with the edits applied, after checking the
    /// whole copy.
    ///
    /// The row revision in an edit must be the current one.
    ///
    /// # Errors
    ///
    /// Fails when any edit fails; no edit is applied then.
    pub fn with_edits(&self, edits: &[RowEdit], stamp: WriterStamp) -> Result<Self, EditError> {
        let mut table = self.clone();
        table.sign(table.revision + 1, stamp);
        for edit in edits {
            table.apply(edit)?;
        }
        table.pools.sort_by(|a, b| a.name.cmp(&b.name));
        table.teams.sort_by(|a, b| a.name.cmp(&b.name));
        table.check().map_err(EditError::Refused)?;
        Ok(table)
    }

    fn apply(&mut self, edit: &RowEdit) -> Result<(), EditError> {
        let revision = self.revision;
        match edit {
            RowEdit::PutPool(row) => put_row(&mut self.pools, row, revision),
            RowEdit::PutTeam(row) => put_row(&mut self.teams, row, revision),
            RowEdit::RemovePool(name, read) => remove_row(&mut self.pools, name, *read),
            RowEdit::RemoveTeam(name, read) => remove_row(&mut self.teams, name, *read),
        }
    }
}

/// Common accessors of the rows of all kinds.
trait TableRow: Clone + Serialize {
    fn name(&self) -> &str;
    fn revision(&self) -> u64;
    fn set_revision(&mut self, revision: u64);
}

impl TableRow for PoolRow {
    fn name(&self) -> &str {
        &self.name
    }
    fn revision(&self) -> u64 {
        self.revision
    }
    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }
}

impl TableRow for TeamRow {
    fn name(&self) -> &str {
        &self.name
    }
    fn revision(&self) -> u64 {
        self.revision
    }
    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }
}

fn put_row<R: TableRow>(rows: &mut Vec<R>, row: &R, revision: u64) -> Result<(), EditError> {
    let mut written = row.clone();
    written.set_revision(revision);
    let Some(found) = rows.iter_mut().find(|other| other.name() == row.name()) else {
        if row.revision() != 0 {
            return Err(EditError::Missing(row.name().to_owned()));
        }
        rows.push(written);
        return Ok(());
    };
    check_revision(found, row.revision(), &to_json(row))?;
    *found = written;
    Ok(())
}

fn remove_row<R: TableRow>(rows: &mut Vec<R>, name: &str, read: u64) -> Result<(), EditError> {
    let Some(index) = rows.iter().position(|row| row.name() == name) else {
        return Err(EditError::Missing(name.to_owned()));
    };
    check_revision(&rows[index], read, "removed")?;
    rows.remove(index);
    Ok(())
}

fn check_revision<R: TableRow>(row: &R, read: u64, yours: &str) -> Result<(), EditError> {
    if row.revision() == read {
        return Ok(());
    }
    Err(EditError::Conflict {
        row: row.name().to_owned(),
        read,
        current: row.revision(),
        yours: yours.to_owned(),
        theirs: to_json(row),
    })
}

impl PoolRow {
    /// Returns the row with one cell changed.
    ///
    /// # Errors
    ///
    /// Fails when the column does not exist or does not accept the value.
    pub fn with_cell(&self, column: &str, value: &str) -> Result<Self, EditError> {
        with_cell(self, column, value)
    }
}

impl TeamRow {
    /// Returns the row with one cell changed.
    ///
    /// # Errors
    ///
    /// Fails when the column does not exist or does not accept the value.
    pub fn with_cell(&self, column: &str, value: &str) -> Result<Self, EditError> {
        with_cell(self, column, value)
    }
}

fn with_cell<R>(row: &R, column: &str, value: &str) -> Result<R, EditError>
where
    R: TableRow + DeserializeOwned,
{
    let fault = |text: String| EditError::Column {
        row: row.name().to_owned(),
        column: column.to_owned(),
        fault: text,
    };
    let mut cells = serde_json::to_value(row).map_err(|err| fault(err.to_string()))?;
    let Some(cell) = cells.get_mut(column) else {
        return Err(fault("no such column".to_owned()));
    };
    if column == "name" || column == "revision" {
        return Err(fault("can't be edited".to_owned()));
    }
    *cell = parse_cell(cell, value);
    serde_json::from_value(cells).map_err(|err| fault(err.to_string()))
}

/// Parses `value` as a number if the cell currently holds one; otherwise takes it
/// as a string.
fn parse_cell(cell: &Value, value: &str) -> Value {
    if cell.is_number()
        && let Ok(number) = value.parse::<u64>()
    {
        return Value::from(number);
    }
    Value::from(value)
}

fn to_json<R: Serialize>(row: &R) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

fn join_lines(faults: &[CellError]) -> String {
    let lines: Vec<String> = faults.iter().map(CellError::to_string).collect();
    lines.join("\n")
}
