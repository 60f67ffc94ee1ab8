//! The state that an entry's modules share, and the search of a submission for its cell's owner.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time;

use compact_str::CompactString;
use tokio::sync::{oneshot, Notify};

use crate::code;
use crate::controller::config;
use crate::controller::ownership;
use crate::count;
use crate::entry::cell::{Cell, Waiter};
use crate::entry::inward_links::InwardLinks;
use crate::entry::owning;
use crate::entry::peers::Peers;
use crate::entry::scope;
use crate::entry::Config;
use crate::id;
use crate::key;
use crate::refusal::Refusal;
use crate::submission::{self, Submission};
use crate::wire::clients::{self, Clients};
use crate::wire::platform;
use crate::wire::rows;

/// Pause before a submission searches for its cell's owner again.
const OWNER_RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Longest that a submission or cancellation searches for an owner before it is refused.
const MAX_OWNER_SEARCH: time::Duration = time::Duration::from_secs(5);

/// Longest that a stopping entry waits for others to take its cells over.
const MAX_HAND_OVER: time::Duration = time::Duration::from_secs(2);

/// The owner of a cell, as far as this entry knows.
#[derive(Clone)]
pub enum CellOwner {
    /// No owner is known.
    Unknown,
    /// This entry owns the cell and runs it.
    Local(Arc<Cell>),
    /// Another entry owns the cell, by the row given.
    Remote(rows::Owner),
}

/// The state that an entry's HTTP side, links and cells share.
pub struct Core {
    /// The settings that the entry was opened with.
    pub cfg: Config,
    /// The connections of callers and operators.
    pub clients: Clients,
    /// The configuration in force, and the loop that keeps it current.
    pub config: config::Config,
    /// The counters of messages sent, by kind.
    pub messages: count::Messages,
    /// The platform's table and object store.
    pub platform: platform::Platform,
    /// The controller that takes ownership of cells and watches the owners of the others.
    pub ownership: Arc<ownership::Ownership>,
    /// The links to the owners of other cells.
    pub peers: Peers,
    owners: Vec<Mutex<CellOwner>>,
    owners_changed: Notify,
    draining: AtomicBool,
    in_flight: AtomicUsize,
    submission_ended: Notify,
    drain_requested: Notify,
}

impl Core {
    /// Opens the shared state; `events` makes the handlers for ownership events from a weak
    /// reference to it.
    pub fn open(
        cfg: Config,
        peer_addr: CompactString,
        platform: platform::Platform,
        messages: count::Messages,
        inward: InwardLinks,
        events: impl FnOnce(&Weak<Core>) -> ownership::Events,
    ) -> Arc<Core> {
        Arc::new_cyclic(|core| {
            let candidate = ownership::Candidate {
                entry: cfg.id.clone(),
                // Numbers in the JSON of other languages hold only 53 bits.
                incarnation: rand::random::<u64>() >> 11,
                addr: peer_addr,
            };
            let table = platform.table.clone();
            let events = events(core);
            let unknown = || Mutex::new(CellOwner::Unknown);
            Core {
                clients: clients::open("http", cfg.clients),
                config: config::open(table.clone()),
                ownership: ownership::open(table, candidate, cfg.cells, events),
                peers: Peers::open(inward),
                owners: std::iter::repeat_with(unknown)
                    .take(cfg.cells.into())
                    .collect(),
                owners_changed: Notify::new(),
                draining: AtomicBool::new(false),
                in_flight: AtomicUsize::new(0),
                submission_ended: Notify::new(),
                drain_requested: Notify::new(),
                cfg,
                messages,
                platform,
            }
        })
    }

    /// The known owner of a cell.
    pub fn cell_owner(&self, cell: id::Cell) -> CellOwner {
        self.owners[usize::from(cell)]
            .lock()
            .expect("not poisoned")
            .clone()
    }

    /// The known owners of all cells, by cell number.
    pub fn cell_owners(&self) -> Vec<CellOwner> {
        (0..self.cfg.cells)
            .map(|cell| self.cell_owner(cell))
            .collect()
    }

    /// Tells whether this entry owns at least one cell.
    pub fn owns_any(&self) -> bool {
        self.cell_owners()
            .iter()
            .any(|owner| matches!(owner, CellOwner::Local(_)))
    }

    /// The number of slots of usable agents in the cells that this entry owns.
    pub fn usable_slots(&self) -> u32 {
        let slots = |owner| match owner {
            CellOwner::Local(cell) => cell.read(|owner| owner.fleet().slots()),
            CellOwner::Remote(_) | CellOwner::Unknown => 0,
        };
        self.cell_owners().into_iter().map(slots).sum()
    }

    /// Tells whether the entry is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Tells whether the entry takes submissions now: it isn't draining, has a configuration and
    /// knows the owner of at least one cell.
    pub fn is_ready(&self) -> bool {
        let is_known = |owner: &CellOwner| !matches!(owner, CellOwner::Unknown);
        !self.is_draining()
            && self.config.get().is_some()
            && self.cell_owners().iter().any(is_known)
    }

    /// Asks the process that runs this entry to drain and stop it.
    pub fn request_drain(&self) {
        self.drain_requested.notify_one();
    }

    /// Waits until a drain was requested.
    pub async fn drain_requested(&self) {
        self.drain_requested.notified().await;
    }

    /// The number of submissions whose callers wait at this entry.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Submits to the owner of the submission's cell, again after each loss of the owner, and
    /// returns the ending.
    pub async fn run_submission(&self, submission: Arc<Submission>) -> Arc<submission::Ending> {
        let _in_flight = InFlight::begin(self);
        let cell = key::cell(&submission.key, self.cfg.cells);
        let mut searching_since = None;
        let mut handed_over = false;
        loop {
            let tried_at = time::Instant::now();
            let ending = match self.cell_owner(cell) {
                CellOwner::Local(owner) => {
                    handed_over = true;
                    let (tx, rx) = oneshot::channel();
                    owner.submit(submission.clone(), Waiter::Caller(tx));
                    rx.await.ok()
                }
                CellOwner::Remote(owner) => {
                    let (sent, ending) = self.peers.submit(&owner.addr, submission.clone()).await;
                    handed_over |= sent;
                    ending
                }
                CellOwner::Unknown => None,
            };
            if let Some(ending) = ending {
                return ending;
            }
            // An attempt that took longer than the pause counts as one that had an owner, so the
            // search for the next owner gets the full time again.
            let now = time::Instant::now();
            if tried_at.elapsed() > OWNER_RETRY_PAUSE {
                searching_since = Some(now);
            }
            if searching_since.get_or_insert(now).elapsed() >= self.max_owner_search(&submission) {
                return Arc::new(submission::Ending::Failed(no_owner_refusal(handed_over)));
            }
            self.ownership.check_now();
            let _ = tokio::time::timeout(OWNER_RETRY_PAUSE, self.owners_changed.notified()).await;
        }
    }

    /// Withdraws a job at the owner of its cell.
    ///
    /// A cancellation is idempotent, so one that was lost with its owner is sent again.
    pub async fn cancel_job(&self, key: id::JobKey) -> Arc<submission::Ending> {
        let cell = key::cell(&key, self.cfg.cells);
        let begun = time::Instant::now();
        while begun.elapsed() < MAX_OWNER_SEARCH {
            let ending = match self.cell_owner(cell) {
                CellOwner::Local(owner) => {
                    let (tx, rx) = oneshot::channel();
                    owner.cancel(&key, Waiter::Caller(tx));
                    rx.await.ok()
                }
                CellOwner::Remote(owner) => self.peers.cancel(&owner.addr, key.clone()).await.1,
                CellOwner::Unknown => None,
            };
            if let Some(ending) = ending {
                return ending;
            }
            self.ownership.check_now();
            let _ = tokio::time::timeout(OWNER_RETRY_PAUSE, self.owners_changed.notified()).await;
        }
        // An owner that can't be reached may have run the job.
        let unknown = Refusal::new(code::Code::JobUnknown).retry_after(OWNER_RETRY_PAUSE);
        Arc::new(submission::Ending::Failed(unknown))
    }

    /// Longest search for an owner: [`MAX_OWNER_SEARCH`], or the target of the submission's class
    /// if that is shorter.
    fn max_owner_search(&self, submission: &Submission) -> time::Duration {
        let config = self.config.get();
        let class = config
            .as_ref()
            .and_then(|c| c.document.class(&submission.job.class));
        class.map_or(MAX_OWNER_SEARCH, |class| {
            class.target().min(MAX_OWNER_SEARCH)
        })
    }

    /// Starts to run a cell that this entry has become the owner of.
    pub fn take_over_cell(self: &Arc<Self>, owned: ownership::OwnedCell) {
        let (cell, epoch) = (owned.cell, owned.epoch);
        let Some(config) = self.config.get() else {
            // Without a configuration no cell may be served. Since the ownership is forgotten, the
            // check after the first configuration reports it again.
            self.ownership.forget_cell(cell);
            return;
        };
        log::info!("this entry owns cell {cell} at epoch {epoch}");
        let ownership = Arc::downgrade(&self.ownership);
        let proof_ownership = ownership.clone();
        let owner = owning::spawn(scope::Scope {
            cell,
            epoch,
            revision: owned.revision,
            proof_begun: owned.begun,
            unclaimed_starts_until: owned.unclaimed_starts_until,
            entry: self.cfg.id.clone(),
            table: self.platform.table.clone(),
            messages: self.messages.clone(),
            policy: self.cfg.policy,
            config,
            ownership_lost: Box::new(move || {
                if let Some(ownership) = ownership.upgrade() {
                    ownership.cell_lost(cell);
                }
            }),
            ownership_proved: Box::new(move |begun| {
                if let Some(ownership) = proof_ownership.upgrade() {
                    ownership.note_proof(cell, begun);
                }
            }),
        });
        self.set_cell_owner(cell, CellOwner::Local(owner));
    }

    fn set_cell_owner(&self, cell: id::Cell, owner: CellOwner) {
        let mut current = self.owners[usize::from(cell)].lock().expect("not poisoned");
        let before = std::mem::replace(&mut *current, owner);
        drop(current);
        if let CellOwner::Local(owner) = before {
            owner.stop();
        }
        self.owners_changed.notify_waiters();
    }

    /// Notes that another entry owns a cell.
    pub fn note_remote_owner(&self, cell: id::Cell, owner: &rows::Owner) {
        let same = match self.cell_owner(cell) {
            CellOwner::Remote(known) => known == *owner,
            CellOwner::Local(_) | CellOwner::Unknown => false,
        };
        if !same {
            log::info!(
                "cell {cell} is owned by {} at epoch {}",
                owner.entry,
                owner.epoch
            );
            self.set_cell_owner(cell, CellOwner::Remote(owner.clone()));
        }
    }

    /// Refuses new submissions, hands the cells over if another entry takes them, and waits up to
    /// [`Config::drain`] until the submissions in flight are answered.
    pub async fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.ownership.resign().await;
        let deadline = tokio::time::Instant::now() + MAX_HAND_OVER;
        while self.owns_any() && tokio::time::Instant::now() < deadline {
            self.ownership.check_now();
            let _ = tokio::time::timeout(OWNER_RETRY_PAUSE, self.owners_changed.notified()).await;
        }
        if self.owns_any() {
            // No other entry took the cells, so this one serves the submissions in flight to their
            // end.
            self.ownership.resume_taking();
        }
        let idle = async {
            while self.in_flight() > 0 {
                let _ =
                    tokio::time::timeout(OWNER_RETRY_PAUSE, self.submission_ended.notified()).await;
            }
        };
        if tokio::time::timeout(self.cfg.drain, idle).await.is_err() {
            log::warn!(
                "{} submissions were still in flight when the drain ended",
                self.in_flight()
            );
        }
        // The last answers may not have passed through the sockets yet.
        tokio::time::sleep(OWNER_RETRY_PAUSE).await;
    }

    /// Stops all cells and closes the links to owners at once.
    pub fn close(&self) {
        for cell in 0..self.cfg.cells {
            self.set_cell_owner(cell, CellOwner::Unknown);
        }
        self.peers.close();
    }
}

/// The refusal of a submission for which no owner was found in time; it says that nothing was run
/// unless the submission was handed to an owner that was lost.
fn no_owner_refusal(handed_over: bool) -> Refusal {
    if handed_over {
        Refusal::new(code::Code::ForwardLost)
    } else {
        Refusal::new(code::Code::NoOwner).retry_after(OWNER_RETRY_PAUSE)
    }
}

/// Counts a submission as in flight until it is dropped.
struct InFlight<'a>(&'a Core);

impl<'a> InFlight<'a> {
    fn begin(core: &'a Core) -> InFlight<'a> {
        core.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(core)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.0.submission_ended.notify_waiters();
    }
}
