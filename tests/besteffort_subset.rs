//! Which agents an entry links to, and how it finds room beyond them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use lovagemill::decide::besteffort::board::{Action, Board, SubmitResult};
use lovagemill::decide::besteffort::job::{NotRunReason, Outcome, Submission};
use lovagemill::decide::besteffort::lease::Bounds;
use lovagemill::decide::besteffort::message::{
    AgentMessage, Backend, Hello, Room, ServerIncarnation,
};
use lovagemill::decide::besteffort::policy::Policy;
use lovagemill::decide::besteffort::subset::{LinkChange, ListedAgent, Subset};

const START: u64 = 10_000;

const ROOM: Room = Room {
    cpu: 8_000,
    memory_mb: 1_000,
    accelerators: 0,
};

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

/// Returns the listing of agent `n`: agents are spread over five failure domains in turn, and eight share a
/// rack.
fn listed_agent(n: usize) -> ListedAgent {
    ListedAgent {
        agent: format!("agent-{n}").into(),
        addr: SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8], 7720)),
        failure_domain: format!("domain-{}", n % 5).into(),
        service: "svc".into(),
        labels: vec![format!("rack-{}", n / 8).into()],
        size: ROOM,
    }
}

fn opened(changes: &[LinkChange]) -> BTreeSet<String> {
    let open = changes.iter().filter_map(|change| match change {
        LinkChange::Open(agent, _) => Some(agent.to_string()),
        LinkChange::Close(_) => None,
    });
    open.collect()
}

/// Returns the subset of an entry that knows some agents, with the links to its base up, and the base.
fn base(entry: usize, agents: usize) -> (Subset, BTreeSet<String>) {
    let domain = format!("domain-{}", entry % 5);
    let policy = Policy::default().subset;
    let mut subset = Subset::open(&format!("entry-{entry}"), &domain, policy);
    for n in 0..agents {
        assert_eq!(subset.list_agent(listed_agent(n)), None);
    }
    let opened = opened(&subset.review_links(ms(START), |_| false));
    for agent in &opened {
        subset.link_up(agent);
    }
    (subset, opened)
}

/// Guards against numbers of links that grow with the deployment: with twice the entries and agents, a
/// process has as many links as before.
#[test]
fn links_of_a_process_do_not_grow_with_the_deployment() {
    let size = Policy::default().subset.base_size;
    for (entries, agents) in [(183, 800), (366, 1_600)] {
        let mut links_by_agent: BTreeMap<String, usize> = BTreeMap::new();
        for entry in 0..entries {
            let (_, base) = base(entry, agents);
            assert_eq!(base.len(), size);
            for agent in base {
                *links_by_agent.entry(agent).or_default() += 1;
            }
        }
        let mean = (entries * size) as f64 / agents as f64;
        let most = links_by_agent.values().max().copied().unwrap_or(0);
        assert!((most as f64) < 3.0 * mean, "{most} of {mean}");
        assert!(
            links_by_agent.len() * 100 >= agents * 99,
            "nearly all agents have links"
        );
    }
}

/// Guards against an entry that is left without agents when its failure domain, or a rack, is lost.
#[test]
fn a_base_is_mostly_near_and_spread_over_domains_and_racks() {
    for entry in 0..50 {
        let (_, base) = base(entry, 800);
        let numbers = base.iter().map(|agent| {
            let number = agent.strip_prefix("agent-").expect("named so");
            number.parse::<usize>().expect("a number")
        });
        let (mut domains, mut racks) = (BTreeMap::new(), BTreeMap::new());
        for n in numbers {
            *domains.entry(n % 5).or_insert(0) += 1;
            *racks.entry(n / 8).or_insert(0) += 1;
        }
        assert_eq!(domains.len(), 5, "{domains:?}");
        assert_eq!(domains[&(entry % 5)], 24, "{domains:?}");
        assert!(racks.values().all(|n| *n <= 4), "{racks:?}");
    }
}

/// Guards against links that are closed because another agent comes or goes, and against a link that is
/// closed while it is up because the agent's row was removed.
#[test]
fn removing_an_agent_changes_no_other_link() {
    let (mut subset, before) = base(3, 800);
    let gone = before.first().expect("some").clone();
    assert_eq!(subset.unlist_agent(&gone), None, "its link is up");
    assert!(subset.review_links(ms(START + 500), |_| false).is_empty());
    subset.link_down(ms(START + 500), &gone);
    assert_eq!(
        subset.unlist_agent(&gone),
        Some(LinkChange::Close(gone.as_str().into()))
    );
    let changes = subset.review_links(ms(START + 1_000), |_| false);
    assert_eq!(
        opened(&changes).len(),
        1,
        "one takes its place: {changes:?}"
    );
    assert_eq!(changes.len(), 1, "{changes:?}");
}

/// Guards against an entry that is left without agents after many were lost, and against one that then tries
/// to connect to all other agents.
#[test]
fn missing_agents_are_replaced() {
    let (mut subset, base) = base(3, 800);
    for agent in base.iter().take(20) {
        subset.link_down(ms(START), agent);
    }
    assert!(subset.review_links(ms(START + 500), |_| false).is_empty());
    let changes = subset.review_links(ms(START + 1_000), |_| false);
    assert_eq!(opened(&changes).len(), 20);
    for agent in opened(&changes).iter().chain(&base) {
        subset.link_down(ms(START + 1_000), agent);
    }
    let changes = subset.review_links(ms(START + 3_000), |_| false);
    assert_eq!(
        opened(&changes).len(),
        12,
        "at most twice the base is tried"
    );
}

/// Guards against extra links that stay open for ever after a burst, and against links that are closed while
/// the agent has runs of the entry.
#[test]
fn links_beyond_the_base_are_closed_when_unused() {
    let (mut subset, _) = base(3, 800);
    let (opening, changes) = subset.open_extra_links(ms(START), 8, |_| true);
    assert_eq!((opening.len(), changes.len()), (8, 8));
    for agent in &opening {
        subset.link_up(agent);
    }
    let used = opening[0].clone();
    let late = START + 2_500;
    let changes = subset.review_links(ms(late), |agent| *agent == used);
    assert_eq!(changes.len(), 7, "{changes:?}");
    let unused = |change: &LinkChange| matches!(change, LinkChange::Close(agent) if *agent != used);
    assert!(changes.iter().all(unused), "{changes:?}");
    let changes = subset.review_links(ms(late + 2_500), |_| false);
    assert_eq!(changes, [LinkChange::Close(used)]);
}

fn submission(job: &str, tasks: u32) -> Submission {
    Submission {
        job: job.into(),
        class: "class".into(),
        service: "svc".into(),
        input: "input".into(),
        tasks,
        need: Room {
            cpu: 1_000,
            memory_mb: 10,
            accelerators: 0,
        },
        declared_run_time: ms(100),
        required_label: None,
        near_label: None,
        max_per_worker: None,
        max_attempts: 2,
        priority: 0,
        stretch: 1.6,
        slack: ms(60),
        deadline: ms(START + 5_000),
        wait_shortfall: Duration::ZERO,
        first_run_number: 1,
    }
}

/// The board of an entry that knows 800 agents, with a driver that brings up each link that the board asks
/// for.
struct LinkedBoard {
    board: Board,
    links: u64,
    up: BTreeSet<String>,
}

impl LinkedBoard {
    fn open() -> LinkedBoard {
        let mut board = Board::open("entry-3", "domain-3", Bounds::default(), Policy::default());
        for n in 0..800 {
            board.list_agent(listed_agent(n));
        }
        board.tick(ms(START - 50));
        let mut linked = LinkedBoard {
            board,
            links: 0,
            up: BTreeSet::new(),
        };
        linked.open_links(START - 40, 8);
        linked
    }

    /// Brings up the links that the board has asked for, to agents with free room for `places` tasks each,
    /// until it asks for no more. Returns the link of each start that was sent.
    fn open_links(&mut self, at: u64, places: i64) -> Vec<u64> {
        let mut starts = Vec::new();
        loop {
            let actions = self.board.take_actions();
            if actions.is_empty() {
                return starts;
            }
            for action in actions {
                match action {
                    Action::Start(link, _) => starts.push(link),
                    Action::Link(LinkChange::Open(agent, _)) => {
                        self.links += 1;
                        self.up.insert(agent.to_string());
                        self.connect(at, &agent, places);
                    }
                    _ => {}
                }
            }
        }
    }

    fn connect(&mut self, at: u64, agent: &str, places: i64) {
        let number = agent.strip_prefix("agent-").and_then(|n| n.parse().ok());
        let listed = listed_agent(number.expect("a number"));
        let hello = Hello {
            agent: agent.into(),
            incarnation: 1,
            failure_domain: listed.failure_domain,
            runs: Vec::new(),
            ended: Vec::new(),
        };
        self.board.agent_up(ms(at), self.links, &hello);
        let message = AgentMessage {
            free: Room {
                cpu: 1_000 * places,
                ..ROOM
            },
            competing_entries: 1,
            backend: Some(Backend {
                incarnation: ServerIncarnation::with_id(agent),
                service: listed.service,
                labels: listed.labels,
                size: listed.size,
                takes_work: true,
            }),
            ..AgentMessage::default()
        };
        self.board.handle_message(ms(at), self.links, &message);
    }
}

/// Guards against a job that is refused, or runs far from its data, although an agent without a link suits
/// it.
#[test]
fn an_agent_beyond_the_base_is_found_for_a_label_that_the_base_lacks() {
    for needs_rack in [true, false] {
        let mut linked = LinkedBoard::open();
        let racks: BTreeSet<usize> = (0..100).collect();
        let is_linked = |rack: &usize| {
            let agents = (rack * 8)..(rack * 8 + 8);
            agents
                .map(|n| format!("agent-{n}"))
                .any(|a| linked.up.contains(&a))
        };
        let rack = racks.iter().find(|rack| !is_linked(rack)).expect("some");
        let label = format!("rack-{rack}");
        let mut submission = submission("job", 4);
        if needs_rack {
            submission.required_label = Some(label.as_str().into());
        } else {
            submission.near_label = Some(label.as_str().into());
        }
        let before = linked.links;
        let admitted = linked.board.submit(ms(START), submission);
        assert!(matches!(admitted, SubmitResult::Job(_)), "{admitted:?}");
        let starts = linked.open_links(START + 4, 8);
        linked.board.tick(ms(START + 50));
        let starts = [starts, linked.open_links(START + 50, 8)].concat();
        assert_eq!(starts.len(), 4, "all within 50 ms");
        assert!(starts.iter().all(|link| *link > before), "{starts:?}");
    }
}

/// Guards against work that waits until its deadline for a label or a size that no backend server has.
#[test]
fn a_job_that_no_agent_suits_is_refused_at_once() {
    let mut linked = LinkedBoard::open();
    let mut labelled = submission("labelled", 1);
    labelled.required_label = Some("nowhere".into());
    let mut large = submission("large", 1);
    large.need.cpu = 9_000;
    for submission in [labelled, large] {
        // By now the entry has found its agents; before, it refuses nothing for lack of them.
        let admitted = linked.board.submit(ms(START + 200), submission);
        let refused = SubmitResult::Answered(Outcome::NotRun(NotRunReason::NoFit, ms(1_000)));
        assert_eq!(admitted, refused);
    }
}

/// Guards against overload in which every entry opens links to every agent. Where the next agents are as full
/// as the linked ones, more links would only make more entries compete for each place. Eight hundred tasks
/// need a hundred agents with eight places.
#[test]
fn a_burst_opens_links_only_while_they_bring_room() {
    for (free, most) in [(8, 116), (0, 40)] {
        let mut linked = LinkedBoard::open();
        for job in 0..100 {
            let mut submission = submission(&format!("job-{job}"), 8);
            submission.slack = ms(2_000);
            linked.board.submit(ms(START), submission);
            linked.open_links(START, free);
        }
        for at in (START..START + 350).step_by(10) {
            linked.board.tick(ms(at));
            linked.open_links(at, free);
        }
        let links = linked.up.len();
        assert!(
            links > 32 && links <= most,
            "{links} with {free} places free"
        );
    }
}
