//! Waits for conditions, so that no test depends on the speed of the machine.

use std::time::Duration;

use eyre::{
    Result,
    bail, //
};
use tokio::time::Instant;

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const INTERVAL: Duration = Duration::from_millis(20);

/// Calls `check` again and again until it returns a value; `what` names the condition in the
/// error.
///
/// # Errors
///
/// Fails when there is no value in time.
pub async fn wait_until<T, F>(what: &str, mut check: impl FnMut() -> F) -> Result<T>
where
    F: Future<Output = Option<T>>,
{
    let limit = Instant::now() + LIMIT;
    loop {
        if let Some(found) = check().await {
            return Ok(found);
        }
        if Instant::now() > limit {
            bail!("waited {LIMIT:?} for: {what}");
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
