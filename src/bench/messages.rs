//! What a start costs on a real link, with 1, 4 and 16 starts in a message, both ends together.

use std::net;
use std::sync::Arc;
use std::time;

use compact_str::format_compact;
use serde_json::value::RawValue;
use tokio::sync::mpsc;

use crate::bench::gauge;
use crate::bench::slope::Slope;
use crate::bench::Config;
use crate::decide::notice;
use crate::decide::order;
use crate::task;
use crate::wire::agent;
use crate::wire::link;

/// The thread name of the runtime that carries both ends.
const THREADS: &str = "bench-link";

/// Starts that one message carries.
const GROUPS: [usize; 3] = [1, 4, 16];

/// Links that are busy at a time, as those of an owner are.
const LINKS: usize = 16;

/// Measures every group size, rounds interleaved.
pub async fn run(cfg: Config) -> anyhow::Result<Vec<Slope>> {
    let (rounds, starts) = if cfg.quick { (1, 20_000) } else { (5, 40_000) };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .thread_name(THREADS)
        .worker_threads(4)
        .enable_all()
        .build()?;
    let mut found = vec![Vec::new(); GROUPS.len()];
    for _ in 0..rounds {
        for (group, found) in GROUPS.iter().zip(&mut found) {
            let before = gauge::processor();
            runtime.spawn(exchange(*group, starts)).await??;
            let spent = gauge::since(&before, THREADS);
            found.push(spent * 1e6 / starts as f64);
        }
    }
    runtime.shutdown_background();
    let slope = |(group, rounds): (&usize, Vec<f64>)| {
        let name = format!("per start and answer, {group} a message, both ends");
        Slope::of("messages", name, "us", rounds)
    };
    Ok(GROUPS.iter().zip(found).map(slope).collect())
}

/// Sends starts over links, one message at a time on each, and waits for every answer.
async fn exchange(group: usize, starts: usize) -> anyhow::Result<()> {
    let server = link::bind(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)), echo()).await?;
    let addr = server.addr().to_string();
    let mut links = tokio::task::JoinSet::new();
    for _ in 0..LINKS {
        links.spawn(drive(addr.clone(), group, starts / LINKS / group));
    }
    while let Some(done) = links.join_next().await {
        done??;
    }
    server.stop();
    Ok(())
}

/// An agent's side that answers every start at once.
fn echo() -> link::ServerHandlers<usize, notice::Notice, (usize, agent::Down), agent::Up> {
    let senders: Arc<std::sync::Mutex<Vec<Option<link::Sender<notice::Notice>>>>> = Arc::default();
    let greeting = senders.clone();
    link::ServerHandlers {
        on_open: Arc::new(move |number, tx| {
            let mut senders = greeting.lock().expect("the senders are whole");
            if senders.len() <= number {
                senders.resize(number + 1, None);
            }
            senders[number] = Some(tx);
            Arc::new(|notices| agent::Up {
                link: 1,
                received: 0,
                notices,
                load: notice::Load::default(),
            })
        }),
        on_message: Arc::new(move |(number, down): (usize, agent::Down)| {
            let senders = senders.lock().expect("the senders are whole");
            let Some(Some(tx)) = senders.get(number) else {
                return;
            };
            for order in down.orders {
                if let order::Order::Start(start) = order {
                    let _ = tx.send(notice::Notice::Answer(answer(start.id)));
                }
            }
        }),
        on_sent: Arc::new(|_, _| {}),
        estimate_bytes: agent::estimate_notice_bytes,
    }
}

async fn drive(addr: String, group: usize, messages: usize) -> anyhow::Result<()> {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let (tx, rx) = mpsc::unbounded_channel();
    let (answered, mut answers) = mpsc::unbounded_channel();
    let peer = link::ClientHandlers {
        on_message: Arc::new(move |up: agent::Up| {
            let _ = answered.send(up.notices.len());
        }),
        group: Arc::new(move |mut messages: Vec<Vec<order::Order>>| {
            let orders = messages.pop().unwrap_or_default();
            let down = agent::Down {
                cell: 0,
                epoch: 1,
                incarnation: 1,
                link: 1,
                orders,
            };
            (number, down)
        }),
        on_sent: Arc::new(|_, _| {}),
        estimate_bytes: |orders| orders.iter().map(agent::estimate_order_bytes).sum(),
        on_closed: Box::new(|| {}),
    };
    link::connect(&addr, number, rx, peer).await?;
    for message in 0..messages {
        tx.send((0..group).map(|i| start(message, i)).collect())?;
        let mut left = group;
        while left > 0 {
            let more = tokio::time::timeout(time::Duration::from_secs(5), answers.recv()).await?;
            left -= more.unwrap_or(left).min(left);
        }
    }
    Ok(())
}

fn start(message: usize, index: usize) -> order::Order {
    let input = "{\"trip\":\"2026-12-01/0417\",\"insurer\":\"sul\",\"route\":[1,2,3,4]}";
    order::Order::Start(order::Start {
        id: task::Id {
            job: format_compact!("team-07/0190a5b3-7c1d-7e2f-8a3b-{message:012x}"),
            index: index as u32,
        },
        attempt: 1,
        client_account: "team-07".into(),
        deadline_ms: 8_000,
        needs: task::Needs::default(),
        input: RawValue::from_string(input.to_owned()).expect("the text is JSON"),
        traceparent: None,
    })
}

fn answer(id: task::Id) -> notice::Answer {
    let text = "{\"granted\":true,\"policy\":\"AP-20261201-0417\",\"checked\":[1,2,3,4]}";
    let value = RawValue::from_string(text.to_owned()).expect("the text is JSON");
    notice::Answer {
        id,
        outcome: task::Outcome::Done(value),
        ran_us: 100_000,
    }
}
