//! `connections`: memory of an entry as the number of open connections grows.

use argh::FromArgs;
use eyre::Result;
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    TestRequest, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

use crate::fit::LineFit;

/// Number of measurements, in equal steps up to the requested connections.
const STEPS: usize = 4;

/// Request that leaves its connection open.
const REQUEST: &[u8] = b"GET /quotes/1 HTTP/1.1\r\nhost: x\r\n\r\n";

/// measure the memory of an entry with many open connections of callers
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "connections")]
pub struct ConnectionsCommand {
    /// open connections (default 10000, at most 15000)
    #[argh(option, default = "10000")]
    count: usize,
}

impl ConnectionsCommand {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Fails if the fleet does not start or a connection is refused.
    pub async fn run(self) -> Result<()> {
        let fleet = Fleet::start(FleetPlan {
            entries: 1,
            log_level: "warn".to_owned(),
            ..FleetPlan::default()
        })
        .await?;
        let count = self.count.min(15_000);
        let mut open = Vec::with_capacity(count);
        let mut points = vec![(0.0, resident_mb(&fleet)?)];
        for step in 1..=STEPS {
            while open.len() < count * step / STEPS {
                open.push(open_connection(&fleet).await?);
            }
            let resident = resident_mb(&fleet)?;
            println!("{:>6} connections: {resident:.1} MB resident", open.len());
            points.push((open.len() as f64, resident));
        }
        let fit = LineFit::least_squares(&points);
        println!(
            "{:.1} MB and {:.2} KB for each connection, r2 {:.4}",
            fit.intercept,
            fit.slope * 1_000.0,
            fit.r_squared
        );
        let response = TestRequest::get(&fleet.caller_url(0, "/quotes/1"))
            .send()
            .await?;
        println!("a further request is answered with {}", response.status);
        Ok(())
    }
}

/// Opens a connection, sends one request and reads from its response.
async fn open_connection(fleet: &Fleet) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(fleet.caller_address(0)).await?;
    stream.write_all(REQUEST).await?;
    let mut buffer = [0; 1_024];
    let _ = stream.read(&mut buffer).await?;
    Ok(stream)
}

fn resident_mb(fleet: &Fleet) -> Result<f64> {
    Ok(fleet.entries[0].resident_bytes()? as f64 / 1e6)
}
