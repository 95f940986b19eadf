//! `hoisthitch job`: submits, follows and cancels jobs at a node of the job
//! service.

use std::{
    path::PathBuf,
    time::Duration, //
};

use argh::FromArgs;
use eyre::{
    Result,
    WrapErr, //
};
use hoisthitch_api::{
    JOBS_PATH,
    JobAnswer,
    JobCall,
    QUEUES_PATH,
    QueueRow, //
};
use hoisthitch_jobs::JobSpec;

use crate::{
    client::OperatorClient,
    commands::{
        CommandContext,
        watch::JobWatch, //
    },
    error::CommandError,
    render::{
        print_json,
        print_rows, //
    }, //
};

/// submit, follow and cancel jobs
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct JobCommand {
    #[argh(subcommand)]
    action: JobAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum JobAction {
    Submit(SubmitJob),
    Status(ShowJob),
    Cancel(CancelJob),
    List(ListQueues),
}

/// submit a job; the same id again is the same job
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "hoisthitch job submit halls-hold examples/demo/job.json --watch --time-limit 10m"
)]
struct SubmitJob {
    /// name of the queue; see 'hoisthitch job list'
    #[argh(positional)]
    queue: String,
    /// file with the job's steps, in JSON
    #[argh(positional)]
    file: PathBuf,
    /// identifier, of letters and digits (default: a random one)
    #[argh(option)]
    id: Option<String>,
    /// show progress until the job has ended
    #[argh(switch)]
    watch: bool,
    /// longest time to watch, such as 90s or 10m (default: no limit)
    #[argh(option, from_str_fn(parse_limit))]
    time_limit: Option<Duration>,
}

/// show the state and progress of a job
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct ShowJob {
    /// identifier of the job
    #[argh(positional)]
    id: String,
    /// show progress until the job has ended
    #[argh(switch)]
    watch: bool,
    /// longest time to watch, such as 90s or 10m (default: no limit)
    #[argh(option, from_str_fn(parse_limit))]
    time_limit: Option<Duration>,
}

/// cancel a job, and stop its running tasks
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
struct CancelJob {
    /// identifier of the job
    #[argh(positional)]
    id: String,
}

/// show the queues, and how many jobs wait in each
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListQueues {}

impl JobCommand {
    /// Carries the command out.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        let client = context.job_client()?;
        match self.action {
            JobAction::Submit(args) => submit(context, &client, args).await,
            JobAction::Status(args) => {
                check_limit(args.watch, args.time_limit)?;
                let job: JobAnswer = client.get(&job_path(&args.id)).await?;
                follow(context, &client, job, args.watch, args.time_limit).await
            }
            JobAction::Cancel(args) => {
                let job: JobAnswer = client.delete(&job_path(&args.id)).await?;
                show(context, &job)
            }
            JobAction::List(ListQueues {}) => {
                let queues: Vec<QueueRow> = client.get(QUEUES_PATH).await?;
                if context.json {
                    return print_json(&queues);
                }
                print_rows(&queues)
            }
        }
    }
}

async fn submit(context: &CommandContext, client: &OperatorClient, args: SubmitJob) -> Result<()> {
    check_limit(args.watch, args.time_limit)?;
    let file = args.file.display();
    let text = std::fs::read_to_string(&args.file).wrap_err_with(|| format!("{file}"))?;
    let spec: JobSpec = serde_json::from_str(&text)
        .map_err(|err| CommandError::Usage(format!("{file}: not a job: {err}")))?;
    spec.check()
        .map_err(|err| CommandError::Usage(format!("{file}: {err}")))?;
    let id = args
        .id
        .unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let queue = args.queue;
    let job: JobAnswer = client
        .post(&job_path(&id), &JobCall { queue, spec })
        .await?;
    follow(context, client, job, args.watch, args.time_limit).await
}

/// Prints a job, and with `watch` each change until it has ended.
async fn follow(
    context: &CommandContext,
    client: &OperatorClient,
    job: JobAnswer,
    watch: bool,
    limit: Option<Duration>,
) -> Result<()> {
    show(context, &job)?;
    if !watch {
        return Ok(());
    }
    let path = job_path(&job.id);
    let watch = JobWatch::start(client, path, limit);
    watch.run(job, |job| show(context, job)).await
}

fn parse_limit(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|err| format!("'{text}' is not a time: {err}; write it as 90s or 10m"))
}

fn check_limit(watch: bool, limit: Option<Duration>) -> Result<(), CommandError> {
    if watch || limit.is_none() {
        return Ok(());
    }
    let text = "--time-limit bounds what --watch does; add --watch, or leave it out";
    Err(CommandError::Usage(text.to_owned()))
}

fn show(context: &CommandContext, job: &JobAnswer) -> Result<()> {
    if context.json {
        return print_json(job);
    }
    println!(
        "{} {:?} in pool {}: {} tasks done, {} ordered, {} waiting, {} failed runs",
        job.id, job.phase, job.pool, job.done, job.ordered, job.waiting, job.failed_runs
    );
    Ok(())
}

fn job_path(id: &str) -> String {
    format!("{JOBS_PATH}/{id}")
}
