//! The bench measures something for every line that the capacity page quotes.

use lovagemill::bench::{self, slope::Slope};

/// The middle round is reported, with the lowest and highest beside it.
#[test]
fn a_slope_reports_its_middle_round() {
    let slope = Slope::of("group", "name", "us", vec![9.0, 1.0, 4.0]);
    assert_eq!((slope.low, slope.value, slope.high), (1.0, 4.0, 9.0));
}

/// Every group is there in a quick run, each with figures.
#[tokio::test(flavor = "multi_thread")]
async fn a_quick_run_measures_every_group() {
    let cfg = bench::Config {
        quick: true,
        progress: false,
    };
    let report = bench::run(cfg).await.expect("the parts get ready");
    for group in [
        "memory",
        "decisions",
        "messages",
        "idle",
        "mesh",
        "work",
        "configuration",
        "takeover",
    ] {
        let found = report.slopes.iter().filter(|slope| slope.group == group);
        assert!(found.count() > 0, "{group} is missing");
    }
    for slope in &report.slopes {
        assert!(slope.value.is_finite(), "{slope:?}");
    }
}
