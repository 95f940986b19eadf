//! State transitions of a VM's assignment.
//!
//! Each transition is given the fence (fencing token) that its plan was based on.
//! It checks that the assignment is still in the planned state, then changes it;
//! otherwise it changes nothing.
//!
//! The fence invalidates outdated plans. It is raised when a drain of the VM
//! begins, when the VM moves to another pool, and when a permit for it is
//! withdrawn.

use thiserror::Error;

use crate::hall::{
    AssignmentState,
    MaintainStep,
    VmAssignment,
    VmTask, //
};

/// Why a transition no longer applies.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum TransitionError {
    /// The VM's assignment was changed after the transition was planned.
    #[error("the VM's fence was raised")]
    Fenced,
    /// The VM does not serve the pool.
    #[error("the VM does not serve the pool")]
    NotServing,
    /// The VM is not draining, or it drains for another task.
    #[error("the VM is not draining for this task")]
    NotLeaving,
    /// The VM is draining under the permit.
    #[error("the VM is draining under its permit")]
    Leaving,
}

impl VmAssignment {
    /// Starts to drain the VM for a task. The caller must have taken a permit.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not in the planned state.
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

    /// Assigns the VM to the pool that it moves to.
    ///
    /// The caller must have checked that no entry has requests at the VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not in the planned state.
    pub fn finish_move(&mut self, fence: u64, to: &str) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        let is_this_move = matches!(&self.task, Some(VmTask::Move { to: other }) if other == to);
        self.check_leaving(is_this_move)?;
        to.clone_into(&mut self.pool);
        self.return_to_service();
        self.fence += 1;
        Ok(())
    }

    /// Records the intent to reboot the VM.
    ///
    /// The caller must have checked that no entry has requests at the VM.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not in the planned state.
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
    /// Fails when the VM is not in the planned state.
    pub fn end_maintenance(&mut self, fence: u64, wave: &str) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        self.check_leaving(self.is_in_wave(wave))?;
        self.return_to_service();
        wave.clone_into(&mut self.last_wave);
        Ok(())
    }

    /// Cancels a drain: the VM serves its pool again.
    ///
    /// # Errors
    ///
    /// Fails when the VM is not in the planned state.
    pub fn cancel_drain(&mut self, fence: u64) -> Result<(), TransitionError> {
        self.check_fence(fence)?;
        self.check_leaving(true)?;
        self.return_to_service();
        Ok(())
    }

    /// Raises the fence without any other change, so that plans under an unused
    /// permit fail and the permit can be released.
    ///
    /// # Errors
    ///
    /// Fails when the VM is draining under the permit.
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

    fn check_leaving(&self, is_for_task: bool) -> Result<(), TransitionError> {
        if is_for_task && self.state == AssignmentState::Leaving {
            return Ok(());
        }
        Err(TransitionError::NotLeaving)
    }
}
