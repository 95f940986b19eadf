//! The macro that names test cases.

/// Makes a test of each named call of an asynchronous function.
///
/// The function returns `eyre::Result<()>`.
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

/// Runs one case on a runtime of its own.
///
/// # Errors
///
/// Fails as the case does.
pub fn run_case(case: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    actix_rt::System::new().block_on(case)
}
