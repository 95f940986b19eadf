//! `hoisthitch vms`: shows, assigns and moves the VMs of pools.

use argh::FromArgs;
use eyre::Result;
use hoisthitch_api::{
    ASSIGN_PATH,
    AssignCall,
    HALLS_PATH,
    MOVE_PATH,
    MoveCall, //
};
use hoisthitch_core::{
    HallRecord,
    VmAssignment, //
};

use crate::{
    commands::CommandContext,
    render::{
        print_json,
        print_rows, //
    }, //
};

/// show and assign VMs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "vms")]
pub struct VmsCommand {
    #[argh(subcommand)]
    action: VmsAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum VmsAction {
    Show(ShowVms),
    Assign(AssignVms),
    Move(MoveVms),
}

/// show which pool holds which VM
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowVms {}

/// assign VMs that belong to no pool
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "assign",
    example = "hoisthitch vms assign --pool quotes vm-1 vm-2"
)]
struct AssignVms {
    /// pool that receives the VMs
    #[argh(option)]
    pool: String,
    /// names of the VMs, as the platform lists them
    #[argh(positional)]
    vms: Vec<String>,
}

/// move VMs to another pool, once their requests have ended
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "move",
    example = "hoisthitch vms move --to picking vm-1",
    note = "The move waits for a permit of the pool's availability budget and for every entry."
)]
struct MoveVms {
    /// pool that receives the VMs
    #[argh(option)]
    to: String,
    /// names of the VMs
    #[argh(positional)]
    vms: Vec<String>,
}

impl VmsCommand {
    /// Carries the command out.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        match self.action {
            VmsAction::Show(_) => show(context).await,
            VmsAction::Assign(args) => assign(context, args).await,
            VmsAction::Move(args) => move_vms(context, args).await,
        }
    }
}

async fn show(context: &CommandContext) -> Result<()> {
    let halls: Vec<HallRecord> = context.client()?.get(HALLS_PATH).await?;
    if context.json {
        return print_json(&halls);
    }
    let vms: Vec<&VmAssignment> = halls.iter().flat_map(|hall| &hall.vms).collect();
    print_rows(&vms)
}

async fn assign(context: &CommandContext, args: AssignVms) -> Result<()> {
    let client = context.client()?;
    for vm in args.vms {
        let pool = args.pool.clone();
        let call = AssignCall { vm, pool };
        let record: HallRecord = client.post(ASSIGN_PATH, &call).await?;
        println!("{} is in pool {}, hall {}", call.vm, call.pool, record.hall);
    }
    Ok(())
}

async fn move_vms(context: &CommandContext, args: MoveVms) -> Result<()> {
    let client = context.client()?;
    for vm in args.vms {
        let to = args.to.clone();
        let call = MoveCall { vm, to };
        let _: HallRecord = client.post(MOVE_PATH, &call).await?;
        println!("{} is to go to pool {}", call.vm, call.to);
    }
    Ok(())
}
