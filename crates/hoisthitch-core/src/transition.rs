//! Transitions of a VM's assignment: each checks that the assignment is still
//! as it was planned on, and changes it.
//!
//! The fence is what voids a plan that others overtook. It is raised when a VM
//! begins to leave, when it changes pools, and when a permit for it is withdrawn.

use thiserror::Error;

use crate::hall::{
    AssignmentState,
    MaintainStep,
    VmAssignment,
    VmTask, //
};

/// Why a transition does not apply any more.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TransitionError {
    /// Someone else acted on the VM since.
    #[error("the VM's fence was raised")]
    Fenced,
    /// The VM does not serve the pool.
    #[error("the VM does not serve the pool")]
    NotServing,
    /// The VM does not leave, or leaves for something else.
    #[error("the VM does not leave for this")]
    NotLeaving,
    /// The VM leaves under the permit.
    #[error("the VM leaves under its permit")]
    Leaving,
}

impl VmAssignment {
    /// Has the VM's requests end, for a task. A permit must have been taken.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not as planned.
    pub fn begin_drain(
        &mut self,
        fence: u64,
        pool: &str,
        task: VmTask,
    ) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        if self.pool != pool || self.state != AssignmentState::Serving {
            return Err(TransitionError::NotServing);
        }
        self.state = AssignmentState::Leaving;
        self.task = Some(task);
        self.fence += 1;
        Ok(())
    }

    /// Gives the VM, which is empty everywhere, to the pool it moves to.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not as planned.
    pub fn finish_move(&mut self, fence: u64, to: &str) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        let fits = matches!(&self.task, Some(VmTask::Move { to: other }) if other == to);
        self.check_leaving(fits)?;
        to.clone_into(&mut self.pool);
        self.return_to_service();
        self.fence += 1;
        Ok(())
    }

    /// Notes the intent to reboot the VM, which is empty everywhere.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not as planned.
    pub fn begin_reboot(
        &mut self,
        fence: u64,
        wave: &str,
        boots: u64,
    ) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        let drained = VmTask::Maintain {
            wave: wave.to_owned(),
            step: MaintainStep::Drain,
        };
        self.check_leaving(self.task.as_ref() == Some(&drained))?;
        self.task = Some(VmTask::Maintain {
            wave: wave.to_owned(),
            step: MaintainStep::Reboot { boots },
        });
        Ok(())
    }

    /// Returns the VM to its pool after a reboot.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not as planned.
    pub fn end_maintenance(&mut self, fence: u64, wave: &str) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        self.check_leaving(self.is_in_wave(wave))?;
        self.return_to_service();
        wave.clone_into(&mut self.last_wave);
        Ok(())
    }

    /// Has the VM serve its pool again without having gone anywhere.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not as planned.
    pub fn cancel_drain(&mut self, fence: u64) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        self.check_leaving(true)?;
        self.return_to_service();
        Ok(())
    }

    /// Voids the plans of whoever took a permit for the VM and has not used it,
    /// so that the permit can be returned.
    ///
    /// # Errors
    ///
    /// Fails when the VM leaves under the permit.
    pub fn invalidate_plans(&mut self, fence: u64, pool: &str) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        if self.pool == pool && self.state == AssignmentState::Leaving {
            return Err(TransitionError::Leaving);
        }
        self.fence += 1;
        Ok(())
    }

    fn return_to_service(&mut self) {
        self.state = AssignmentState::Serving;
        self.task = None;
    }

    fn check_fence(&self, fence: u64) -> Result<(), TransitionError> {
        if self.fence == fence {
            return Ok(());
        }
        Err(TransitionError::Fenced)
    }

    fn check_leaving(&self, fits: bool) -> Result<(), TransitionError> {
        if fits && self.state == AssignmentState::Leaving {
            return Ok(());
        }
        Err(TransitionError::NotLeaving)
    }
}
