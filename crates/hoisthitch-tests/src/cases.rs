//! The macro that turns asynchronous calls into named tests.

/// Defines a test for each `name => call`; the call is of an asynchronous function that returns
/// `eyre::Result<()>`.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $call:expr;)+) => {
        $(
            #[test]
            fn $name() -> eyre::Result<()> {
                $crate::run_case($call)
            }
        )+
    };
}

/// Runs one case on a new runtime.
///
/// # Errors
///
/// Returns the error of the case.
pub fn run_case(case: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    actix_rt::System::new().block_on(case)
}
