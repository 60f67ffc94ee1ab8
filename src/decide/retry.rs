//! The retry budget: what provably didn't start may be sent again, but only as a share of the work.
//!
//! One budget covers the whole path of a cell, so that retries can't multiply hop by hop
//! (`docs/design/overload.md`).

/// Retries that each start pays for.
const SHARE: f64 = 0.1;

/// Retries that may be saved up; a rack that drains gives back what waits at three agents at once.
const MAX_SAVED: f64 = 200.0;

/// The budget of one cell.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
}

impl Budget {
    /// Opens a full budget.
    pub fn open() -> Budget {
        Budget { saved: MAX_SAVED }
    }

    /// Notes a first start.
    pub fn earn(&mut self) {
        self.saved = (self.saved + SHARE).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget; false where none is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
