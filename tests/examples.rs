//! The examples of the coordination parts run, and what they assert holds.

#[path = "../examples/claims_and_fencing.rs"]
mod claims_and_fencing;
#[path = "../examples/fair_queue.rs"]
mod fair_queue;
#[path = "../examples/placement.rs"]
mod placement;
#[path = "../examples/sick_workers.rs"]
mod sick_workers;
#[path = "../examples/versioned_configuration.rs"]
mod versioned_configuration;

#[test]
fn claims_and_fencing_runs() {
    claims_and_fencing::main();
}

#[test]
fn fair_queue_runs() {
    fair_queue::main();
}

#[test]
fn placement_runs() {
    placement::main();
}

#[test]
fn sick_workers_runs() {
    sick_workers::main();
}

#[test]
fn versioned_configuration_runs() {
    versioned_configuration::main();
}
