//! What the parts of an entry share, and how a submission finds the owner of its cell.

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
use crate::wire::platform;
use crate::wire::rows;

/// Pause before a submission looks for its cell's owner again.
const LOOK_AGAIN: time::Duration = time::Duration::from_millis(100);

/// How long a submission looks for an owner before it is refused, not run.
const NO_OWNER_AFTER: time::Duration = time::Duration::from_secs(5);

/// How long a stopping entry waits for others to take its cells.
const HAND_OVER: time::Duration = time::Duration::from_secs(2);

/// Who owns a cell, as this entry knows.
#[derive(Clone)]
pub enum Place {
    /// Nobody that it knows of.
    Nowhere,
    /// This entry.
    Here(Arc<Cell>),
    /// Another entry.
    There(rows::Owner),
}

/// What the parts of an entry share.
pub struct Core {
    /// The settings.
    pub cfg: Config,
    /// The configuration.
    pub config: config::Config,
    /// The counters.
    pub messages: count::Messages,
    /// The platform.
    pub platform: platform::Platform,
    /// The ownership of cells.
    pub ownership: Arc<ownership::Ownership>,
    /// The links to the owners of other cells.
    pub peers: Peers,
    places: Vec<Mutex<Place>>,
    moved: Notify,
    draining: AtomicBool,
    in_flight: AtomicUsize,
    flight_ended: Notify,
    stop_asked: Notify,
}

impl Core {
    /// Opens the shared part; `events` makes of the ownership's events what the entry does about them.
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
                incarnation: rand::random::<u64>() >> 11,
                addr: peer_addr,
            };
            let table = platform.table.clone();
            let events = events(core);
            let nowhere = || Mutex::new(Place::Nowhere);
            Core {
                config: config::open(table.clone()),
                ownership: ownership::open(table, candidate, cfg.cells, events),
                peers: Peers::open(inward),
                places: std::iter::repeat_with(nowhere)
                    .take(cfg.cells.into())
                    .collect(),
                moved: Notify::new(),
                draining: AtomicBool::new(false),
                in_flight: AtomicUsize::new(0),
                flight_ended: Notify::new(),
                stop_asked: Notify::new(),
                cfg,
                messages,
                platform,
            }
        })
    }

    /// Who owns a cell.
    pub fn place(&self, cell: id::Cell) -> Place {
        self.places[usize::from(cell)]
            .lock()
            .expect("the place is whole")
            .clone()
    }

    /// All places, by cell.
    pub fn places(&self) -> Vec<Place> {
        (0..self.cfg.cells).map(|cell| self.place(cell)).collect()
    }

    /// Tells whether this entry owns a cell.
    pub fn owns_any(&self) -> bool {
        self.places()
            .iter()
            .any(|place| matches!(place, Place::Here(_)))
    }

    /// Slots of usable agents in the cells that this entry owns.
    pub fn usable_slots(&self) -> u32 {
        let slots = |place| match place {
            Place::Here(cell) => cell.read(|owner| owner.fleet().slots()),
            Place::There(_) | Place::Nowhere => 0,
        };
        self.places().into_iter().map(slots).sum()
    }

    /// Tells whether the entry is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Tells whether submissions would be taken now.
    pub fn is_ready(&self) -> bool {
        let placed = |place: &Place| !matches!(place, Place::Nowhere);
        !self.is_draining() && self.config.get().is_some() && self.places().iter().any(placed)
    }

    /// Asks whoever runs this entry to stop it.
    pub fn ask_to_stop(&self) {
        self.stop_asked.notify_one();
    }

    /// Waits until a stop was asked for.
    pub async fn stop_asked(&self) {
        self.stop_asked.notified().await;
    }

    /// Submissions whose callers wait here.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Brings a submission to its end, through whoever owns its cell.
    pub async fn run(&self, submission: Arc<Submission>) -> Arc<submission::Ending> {
        let _flight = Flight::begin(self);
        let cell = key::cell(&submission.key, self.cfg.cells);
        let mut lost_since = None;
        let mut handed_over = false;
        loop {
            let tried_at = time::Instant::now();
            let ending = match self.place(cell) {
                Place::Here(owner) => {
                    handed_over = true;
                    let (tx, rx) = oneshot::channel();
                    owner.submit(submission.clone(), Waiter::Here(tx));
                    rx.await.ok()
                }
                Place::There(owner) => {
                    let (sent, ending) = self.peers.submit(&owner.addr, submission.clone()).await;
                    handed_over |= sent;
                    ending
                }
                Place::Nowhere => None,
            };
            if let Some(ending) = ending {
                return ending;
            }
            // A job that an owner had for a while before it died has all its patience still.
            let now = time::Instant::now();
            if tried_at.elapsed() > LOOK_AGAIN {
                lost_since = Some(now);
            }
            if lost_since.get_or_insert(now).elapsed() >= self.patience(&submission) {
                return Arc::new(submission::Ending::Failed(lost(handed_over)));
            }
            self.ownership.check_now();
            let _ = tokio::time::timeout(LOOK_AGAIN, self.moved.notified()).await;
        }
    }

    /// Withdraws a job, through whoever owns its cell.
    ///
    /// Doing so twice does no harm, so a cancellation that was lost with its owner is made again.
    pub async fn cancel(&self, key: id::JobKey) -> Arc<submission::Ending> {
        let cell = key::cell(&key, self.cfg.cells);
        let begun = time::Instant::now();
        while begun.elapsed() < NO_OWNER_AFTER {
            let ending = match self.place(cell) {
                Place::Here(owner) => {
                    let (tx, rx) = oneshot::channel();
                    owner.cancel(&key, Waiter::Here(tx));
                    rx.await.ok()
                }
                Place::There(owner) => self.peers.cancel(&owner.addr, key.clone()).await.1,
                Place::Nowhere => None,
            };
            if let Some(ending) = ending {
                return ending;
            }
            self.ownership.check_now();
            let _ = tokio::time::timeout(LOOK_AGAIN, self.moved.notified()).await;
        }
        // Whoever owns the job may have run it.
        let unknown = Refusal::new(code::Code::JobUnknown).retry_after(LOOK_AGAIN);
        Arc::new(submission::Ending::Failed(unknown))
    }

    /// How long a submission looks for an owner: within its target.
    fn patience(&self, submission: &Submission) -> time::Duration {
        let config = self.config.get();
        let class = config
            .as_ref()
            .and_then(|c| c.document.class(&submission.job.class));
        class.map_or(NO_OWNER_AFTER, |class| class.target().min(NO_OWNER_AFTER))
    }

    /// Takes up a cell that this entry has won.
    pub fn won(self: &Arc<Self>, won: ownership::OwnedCell) {
        let (cell, epoch) = (won.cell, won.epoch);
        let Some(config) = self.config.get() else {
            // Without a configuration nothing may be served. Forgetting the ownership makes the
            // look after the first configuration report it again.
            self.ownership.forget_cell(cell);
            return;
        };
        log::info!("this entry owns cell {cell} at epoch {epoch}");
        let ownership = Arc::downgrade(&self.ownership);
        let proving = ownership.clone();
        let owner = owning::spawn(scope::Scope {
            cell,
            epoch,
            revision: won.revision,
            begun: won.begun,
            doubt: won.unclaimed_starts_until,
            entry: self.cfg.id.clone(),
            table: self.platform.table.clone(),
            messages: self.messages.clone(),
            policy: self.cfg.policy,
            config,
            deposed: Box::new(move || {
                if let Some(ownership) = ownership.upgrade() {
                    ownership.cell_lost(cell);
                }
            }),
            proved: Box::new(move |begun| {
                if let Some(ownership) = proving.upgrade() {
                    ownership.note_proof(cell, begun);
                }
            }),
        });
        self.put(cell, Place::Here(owner));
    }

    fn put(&self, cell: id::Cell, place: Place) {
        let mut slot = self.places[usize::from(cell)]
            .lock()
            .expect("the place is whole");
        let before = std::mem::replace(&mut *slot, place);
        drop(slot);
        if let Place::Here(owner) = before {
            owner.stop();
        }
        self.moved.notify_waiters();
    }

    /// Notes that another entry owns a cell.
    pub fn other(&self, cell: id::Cell, owner: &rows::Owner) {
        let same = match self.place(cell) {
            Place::There(known) => known == *owner,
            Place::Here(_) | Place::Nowhere => false,
        };
        if !same {
            log::info!(
                "cell {cell} is owned by {} at epoch {}",
                owner.entry,
                owner.epoch
            );
            self.put(cell, Place::There(owner.clone()));
        }
    }

    /// Stops gracefully: hands the cells over if another entry takes them, and answers everybody.
    pub async fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.ownership.resign().await;
        let deadline = tokio::time::Instant::now() + HAND_OVER;
        while self.owns_any() && tokio::time::Instant::now() < deadline {
            self.ownership.check_now();
            let _ = tokio::time::timeout(LOOK_AGAIN, self.moved.notified()).await;
        }
        if self.owns_any() {
            // No other entry is there; what is in flight is brought to its end here.
            self.ownership.resume_taking();
        }
        let idle = async {
            while self.in_flight() > 0 {
                let _ = tokio::time::timeout(LOOK_AGAIN, self.flight_ended.notified()).await;
            }
        };
        if tokio::time::timeout(self.cfg.drain, idle).await.is_err() {
            log::warn!(
                "{} submissions were still in flight when the drain ended",
                self.in_flight()
            );
        }
        // Answers that were just given are still on their way through the sockets.
        tokio::time::sleep(LOOK_AGAIN).await;
    }

    /// Ends at once.
    pub fn close(&self) {
        for cell in 0..self.cfg.cells {
            self.put(cell, Place::Nowhere);
        }
        self.peers.close();
    }
}

/// What is said to a caller once no owner was found in time.
fn lost(handed_over: bool) -> Refusal {
    if handed_over {
        Refusal::new(code::Code::ForwardLost)
    } else {
        Refusal::new(code::Code::NoOwner).retry_after(LOOK_AGAIN)
    }
}

/// Counts a submission as in flight for as long as its caller waits.
struct Flight<'a>(&'a Core);

impl<'a> Flight<'a> {
    fn begin(core: &'a Core) -> Flight<'a> {
        core.in_flight.fetch_add(1, Ordering::SeqCst);
        Flight(core)
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.0.flight_ended.notify_waiters();
    }
}
