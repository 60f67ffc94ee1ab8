//! Tasks with needs go to workers that have the resources, also when such workers are lost or don't
//! exist.

mod decide_support;

use std::time::Duration;

use decide_support as fake;
use lovagemill::code::Code;
use lovagemill::submission;
use lovagemill::task;

fn accelerators(number: u32) -> task::Needs {
    task::Needs {
        accelerators: number,
        ..task::Needs::default()
    }
}

fn tasks_with_needs(number: usize, ms: u64, needs: task::Needs) -> Vec<submission::Task> {
    let mut tasks = fake::tasks(number, ms, ms);
    for task in &mut tasks {
        task.needs = needs;
    }
    tasks
}

/// No worker ever had as many accelerators as a task needs, so the job would never start and only
/// take up room in the queue. It must be refused at once.
#[test]
fn job_that_can_never_run_is_refused_at_once() {
    let mut fake = fake::open(2);
    fake.join("large", accelerators(2));
    let job = fake.submit("town", tasks_with_needs(1, 100, accelerators(3)));
    let refusal = fake.refusal(job).expect("the job is refused");
    assert_eq!(refusal.code, Code::NeverRunnable);
    assert!(refusal.not_run);
}

/// The only worker with accelerators is lost. A job that needs it waits for its return, but not
/// beyond the target; then the caller gets "not run".
#[test]
fn job_for_an_absent_worker_waits_its_target_at_most() {
    let mut fake = fake::open(2);
    fake.join("large", accelerators(2));
    fake.owner.give_up_agent(fake.now, &"large".into());
    let early = fake.submit("town", tasks_with_needs(1, 100, accelerators(1)));
    fake.advance(Duration::from_secs(1));
    assert!(!fake.endings.contains_key(&early));
    fake.join("large", accelerators(2));
    fake.advance(Duration::from_secs(1));
    assert!(fake.is_complete(early));

    fake.owner.give_up_agent(fake.now, &"large".into());
    let late = fake.submit("town", tasks_with_needs(1, 100, accelerators(1)));
    fake.advance(fake::TARGET);
    assert_eq!(fake.refusal(late).map(|r| r.code), Some(Code::Expired));
}

/// Tasks that wait for the only accelerator must not delay tasks without needs while slots are
/// free, nor the other way round.
#[test]
fn tasks_with_scarce_needs_delay_no_others() {
    let mut fake = fake::open(1);
    fake.join("large", accelerators(1));
    let scarce = fake.submit("town", tasks_with_needs(3, 300, accelerators(1)));
    let plain = fake.submit("town", fake::tasks(15, 100, 100));
    fake.advance(Duration::from_millis(150));
    assert!(fake.is_complete(plain));
    fake.advance(Duration::from_millis(800));
    assert!(fake.is_complete(scarce));
}

/// The counts of free slots, usable slots and taken resources must stay correct when workers join
/// and are lost and tasks end.
#[test]
fn slot_and_resource_counts_are_right_after_work() {
    let mut fake = fake::open(3);
    fake.join("large", accelerators(2));
    for _ in 0..10 {
        fake.submit("town", tasks_with_needs(2, 120, accelerators(1)));
        fake.submit("town", fake::tasks(9, 70, 70));
        fake.advance(Duration::from_millis(90));
    }
    fake.owner.give_up_agent(fake.now, &"agent-01".into());
    fake.advance(Duration::from_secs(4));
    assert_eq!(fake.owner.fleet().slots(), 24);
    assert_eq!(fake.owner.fleet().free_slots(), 24);
    assert!(fake.owner.queue().is_empty());
    let agents = fake.owner.fleet().agents().values();
    for agent in agents {
        assert_eq!(agent.taken, task::Needs::default());
    }
}
