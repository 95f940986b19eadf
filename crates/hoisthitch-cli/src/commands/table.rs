//! `hoisthitch table`: shows and edits the table of pools and teams.

use std::{
    fs::File,
    io,
    path::{
        Path,
        PathBuf, //
    },
    str::FromStr, //
};

use argh::FromArgs;
use eyre::{
    Result,
    WrapErr, //
};
use hoisthitch_api::{
    EDITS_PATH,
    EditCall,
    TABLE_PATH, //
};
use hoisthitch_core::{
    PolicyTable,
    RowEdit, //
};
use serde::de::DeserializeOwned;

use crate::{
    commands::CommandContext,
    error::CommandError,
    render::{
        print_json,
        print_rows, //
    }, //
};

/// show and edit the table of pools and teams
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "table")]
pub struct TableCommand {
    #[argh(subcommand)]
    action: TableAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum TableAction {
    Show(ShowTable),
    Set(SetCells),
    Remove(RemoveRow),
    Import(ImportRows),
    Export(ExportRows),
}

/// Kind of a row.
#[derive(Clone, Copy, Debug)]
enum RowKind {
    Pool,
    Team,
}

impl FromStr for RowKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "pool" => Ok(Self::Pool),
            "team" => Ok(Self::Team),
            _ => Err(format!("'{text}' is not a kind of row; use pool or team")),
        }
    }
}

/// show the table
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowTable {}

/// change cells of one row
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "set",
    example = "hoisthitch table set pool quotes in_flight_limit=40 queue_limit=200"
)]
struct SetCells {
    /// kind of the row: pool or team
    #[argh(positional)]
    kind: RowKind,
    /// name of the row
    #[argh(positional)]
    name: String,
    /// cells, as column=value
    #[argh(positional)]
    cells: Vec<String>,
    /// row revision that the change is made on (default: the current one)
    #[argh(option)]
    revision: Option<u64>,
    /// check the change without applying it
    #[argh(switch)]
    dry_run: bool,
}

/// remove a row
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveRow {
    /// kind of the row: pool or team
    #[argh(positional)]
    kind: RowKind,
    /// name of the row
    #[argh(positional)]
    name: String,
    /// row revision that the removal is made on (default: the current one)
    #[argh(option)]
    revision: Option<u64>,
}

/// write rows from a CSV file, with a header of column names
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "import",
    example = "hoisthitch table import pool pools.csv --dry-run"
)]
struct ImportRows {
    /// kind of the rows: pool or team
    #[argh(positional)]
    kind: RowKind,
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// check the change without applying it
    #[argh(switch)]
    dry_run: bool,
}

/// print the rows of one kind as CSV
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "export")]
struct ExportRows {
    /// kind of the rows: pool or team
    #[argh(positional)]
    kind: RowKind,
}

impl TableCommand {
    /// Carries the command out.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        match self.action {
            TableAction::Show(_) => show(context).await,
            TableAction::Set(args) => set(context, args).await,
            TableAction::Remove(args) => remove(context, args).await,
            TableAction::Import(args) => import(context, args).await,
            TableAction::Export(args) => export(context, args).await,
        }
    }
}

async fn show(context: &CommandContext) -> Result<()> {
    let table = read_table(context).await?;
    if context.json {
        return print_json(&table);
    }
    println!("revision {}\n\npools", table.revision);
    print_rows(&table.pools)?;
    println!("\nteams");
    print_rows(&table.teams)
}

async fn set(context: &CommandContext, args: SetCells) -> Result<()> {
    let table = read_table(context).await?;
    let edit = match args.kind {
        RowKind::Pool => {
            let mut row = find(table.pool(&args.name), &args.name)?.clone();
            row.revision = args.revision.unwrap_or(row.revision);
            for cell in &args.cells {
                let (column, value) = split_cell(cell)?;
                row = row.with_cell(column, value)?;
            }
            RowEdit::PutPool(row)
        }
        RowKind::Team => {
            let mut row = find(table.team(&args.name), &args.name)?.clone();
            row.revision = args.revision.unwrap_or(row.revision);
            for cell in &args.cells {
                let (column, value) = split_cell(cell)?;
                row = row.with_cell(column, value)?;
            }
            RowEdit::PutTeam(row)
        }
    };
    send_edits(context, vec![edit], args.dry_run).await
}

async fn remove(context: &CommandContext, args: RemoveRow) -> Result<()> {
    let table = read_table(context).await?;
    let edit = match args.kind {
        RowKind::Pool => {
            let row = find(table.pool(&args.name), &args.name)?;
            RowEdit::RemovePool(args.name, args.revision.unwrap_or(row.revision))
        }
        RowKind::Team => {
            let row = find(table.team(&args.name), &args.name)?;
            RowEdit::RemoveTeam(args.name, args.revision.unwrap_or(row.revision))
        }
    };
    send_edits(context, vec![edit], false).await
}

async fn import(context: &CommandContext, args: ImportRows) -> Result<()> {
    let edits = match args.kind {
        RowKind::Pool => read_rows(&args.file)?
            .into_iter()
            .map(RowEdit::PutPool)
            .collect(),
        RowKind::Team => read_rows(&args.file)?
            .into_iter()
            .map(RowEdit::PutTeam)
            .collect(),
    };
    send_edits(context, edits, args.dry_run).await
}

async fn export(context: &CommandContext, args: ExportRows) -> Result<()> {
    let table = read_table(context).await?;
    let mut writer = csv::Writer::from_writer(io::stdout());
    match args.kind {
        RowKind::Pool => table
            .pools
            .iter()
            .try_for_each(|row| writer.serialize(row))?,
        RowKind::Team => table
            .teams
            .iter()
            .try_for_each(|row| writer.serialize(row))?,
    }
    writer.flush()?;
    Ok(())
}

async fn read_table(context: &CommandContext) -> Result<PolicyTable> {
    Ok(context.client()?.get(TABLE_PATH).await?)
}

async fn send_edits(context: &CommandContext, edits: Vec<RowEdit>, dry_run: bool) -> Result<()> {
    let call = EditCall { edits, dry_run };
    let table: PolicyTable = context.client()?.post(EDITS_PATH, &call).await?;
    if context.json {
        return print_json(&table);
    }
    let done = if dry_run { "would be" } else { "is" };
    println!(
        "{} edit(s): the table {done} at revision {}",
        call.edits.len(),
        table.revision
    );
    Ok(())
}

fn find<'a, R>(row: Option<&'a R>, name: &str) -> Result<&'a R, CommandError> {
    row.ok_or_else(|| {
        let text = format!("row {name} does not exist; 'hoisthitch table show' lists the rows");
        CommandError::Usage(text)
    })
}

fn split_cell(cell: &str) -> Result<(&str, &str), CommandError> {
    cell.split_once('=').ok_or_else(|| {
        let text = format!("'{cell}' is not a cell; write column=value");
        CommandError::Usage(text)
    })
}

fn read_rows<R: DeserializeOwned>(path: &Path) -> Result<Vec<R>> {
    let file = File::open(path).wrap_err_with(|| path.display().to_string())?;
    let mut rows = Vec::new();
    for row in csv::Reader::from_reader(file).deserialize() {
        rows.push(row.wrap_err_with(|| path.display().to_string())?);
    }
    Ok(rows)
}
