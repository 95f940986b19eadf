//! What the terms of a deployment call for.
//!
//! [`DeploymentTerms`] is made from the settings when a node starts and never changes. Each
//! optional part of the job service is on only where a term calls for it.

use std::collections::BTreeSet;

use hoisthitch_jobs::{
    ColdStartBounds,
    PoolTerms, //
};
use thiserror::Error;

/// Terms of the deployment that a node belongs to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DeploymentTerms {
    /// All data halls; empty where they are not known.
    pub halls: BTreeSet<String>,
    /// Number of data halls that may be lost at the same time with all jobs kept.
    pub tolerated_halls: u32,
    /// Whether jobs that can't end in time are refused before they are stored.
    pub admission_control: bool,
    /// By how much the rate of cold runners may be exceeded.
    pub cold_bounds: ColdStartBounds,
}

/// Why terms are not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TermsError {
    /// The loss of all data halls can't be tolerated.
    #[error(
        "{tolerated} data halls may be lost at once, but only {known} are known; name more halls or tolerate fewer losses"
    )]
    TooFewHalls {
        /// Number of halls that may be lost.
        tolerated: u32,
        /// Number of halls.
        known: usize,
    },
}

impl DeploymentTerms {
    /// Terms that call for no optional part.
    pub fn with_halls(halls: BTreeSet<String>) -> Self {
        Self {
            halls,
            ..Self::default()
        }
    }

    /// Validates the terms.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), TermsError> {
        let known = self.halls.len();
        let tolerated = self.tolerated_halls;
        let is_left = usize::try_from(tolerated).is_ok_and(|tolerated| tolerated < known);
        if tolerated > 0 && !is_left {
            return Err(TermsError::TooFewHalls { tolerated, known });
        }
        Ok(())
    }

    /// The rules that the owner of a pool follows.
    pub fn pool_terms(&self) -> PoolTerms {
        PoolTerms {
            useless_work_yields: self.admission_control,
            tolerated_halls: self.tolerated_halls,
            cold_bounds: self.cold_bounds,
        }
    }
}
