//! What the faults of a demo work on.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time;

use rand::Rng;
use tokio::sync::Mutex;

use crate::demo::caller::Caller;
use crate::demo::cluster::Cluster;
use crate::demo::deployment::Deployment;
use crate::demo::tally::Tally;
use crate::standin::platform::{Fault, Operation};

/// What every operation on a slow table takes longer.
const SLOWER: time::Duration = time::Duration::from_millis(150);

/// Share of writes whose answers are lost.
const LOST_ANSWERS: f64 = 0.3;

/// What befalls the table now; several faults may hold at a time.
#[derive(Debug, Default)]
pub struct Table {
    pub(super) down: AtomicBool,
    pub(super) slow: AtomicBool,
    pub(super) losing: AtomicBool,
}

impl Table {
    fn befall(&self, operation: Operation) -> Fault {
        let is = |flag: &AtomicBool| flag.load(Ordering::SeqCst);
        let loses = operation == Operation::Write && is(&self.losing);
        if is(&self.down) {
            Fault::Down
        } else if loses && rand::rng().random_bool(LOST_ANSWERS) {
            Fault::AnswerLost
        } else if is(&self.slow) {
            Fault::Slow(SLOWER)
        } else {
            Fault::None
        }
    }
}

/// What faults work on.
pub struct Scene {
    /// The running parts.
    pub cluster: Mutex<Cluster>,
    /// What befalls the table.
    pub table: Arc<Table>,
    /// Callers and operators.
    pub caller: Caller,
    /// Sizes and client accounts.
    pub deployment: Deployment,
    /// How long a fault lasts.
    pub outage: time::Duration,
    /// Where what was seen is counted.
    pub tally: Arc<Tally>,
}

/// Puts the scene's table faults before the stand-in platform.
pub async fn arm(scene: &Arc<Scene>) {
    let table = scene.table.clone();
    let cluster = scene.cluster.lock().await;
    cluster
        .platform
        .fail(Arc::new(move |operation| table.befall(operation)));
}
