//! Waiting for conditions, so that no test depends on how fast the machine is.

use std::time::Duration;

use eyre::{
    Result,
    bail, //
};
use tokio::time::Instant;

/// Longest time that a condition is waited for.
const LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `look` answers with a value.
///
/// # Errors
///
/// Fails when the condition does not come true in time.
pub async fn wait_until<T, F>(what: &str, mut look: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let limit = Instant::now() + LIMIT;
    loop {
        if let Some(found) = look().await {
            return Ok(found);
        }
        if Instant::now() > limit {
            bail!("waited {LIMIT:?} for: {what}");
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
