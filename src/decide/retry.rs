//! The retry budget: tasks that provably didn't start are sent again, up to a share of all starts.
//!
//! One budget covers all hops of a cell, so that retries at several hops can't multiply
//! (`docs/design/overload.md`).

/// Retries that each start adds to the budget.
const RETRIES_PER_START: f64 = 0.1;

/// Largest number of retries that the budget may hold. It must be enough for a rack that drains,
/// which returns the tasks that wait at three agents all at once.
const MAX_SAVED_RETRIES: f64 = 200.0;

/// The retry budget of one cell.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
}

impl Budget {
    /// Creates a full budget.
    pub fn open() -> Budget {
        Budget {
            saved: MAX_SAVED_RETRIES,
        }
    }

    /// Adds `RETRIES_PER_START` retries for a start that was sent.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_START).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry out of the budget. Returns false if none is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
