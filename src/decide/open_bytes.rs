//! The memory of jobs that an owner has accepted and that haven't ended.
//!
//! It answers client accounts that submit jobs with large inputs faster than they run. Each client account may hold as
//! much as is still free, so that one of them alone takes at most half and the others find room at once.

use std::collections::HashMap;

use crate::id;

/// The bytes of inputs of open jobs, by client account.
#[derive(Clone, Debug)]
pub struct OpenBytes {
    /// Most bytes of all client accounts together.
    limit: usize,
    total: usize,
    by_account: HashMap<id::ClientAccount, usize>,
}

impl OpenBytes {
    /// Creates an account of no jobs.
    pub fn open(limit: usize) -> OpenBytes {
        OpenBytes {
            limit,
            total: 0,
            by_account: HashMap::new(),
        }
    }

    /// Returns whether a job of so many bytes may be accepted.
    pub fn fits(&self, account: &id::ClientAccount, bytes: usize) -> bool {
        let own = self.by_account.get(account).copied().unwrap_or_default();
        own + bytes <= self.limit.saturating_sub(self.total)
    }

    /// Adds a job that is accepted.
    pub fn add(&mut self, account: &id::ClientAccount, bytes: usize) {
        self.total += bytes;
        *self.by_account.entry(account.clone()).or_default() += bytes;
    }

    /// Removes a job that has ended.
    pub fn remove(&mut self, account: &id::ClientAccount, bytes: usize) {
        self.total -= bytes;
        if let Some(own) = self.by_account.get_mut(account) {
            *own -= bytes;
            if *own == 0 {
                self.by_account.remove(account);
            }
        }
    }
}
