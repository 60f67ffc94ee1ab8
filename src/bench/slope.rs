//! One measured figure, and the report that gathers them.

use std::fmt::Write;

use compact_str::CompactString;
use serde::Serialize;

/// A figure that `docs/CAPACITY.md` may multiply.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What it belongs to, such as `decision`.
    pub group: &'static str,
    /// What was measured, and at which size.
    pub name: CompactString,
    /// The middle round.
    pub value: f64,
    /// The lowest round.
    pub low: f64,
    /// The highest round.
    pub high: f64,
    /// How many rounds.
    pub rounds: usize,
    /// The unit of all three.
    pub unit: &'static str,
}

impl Slope {
    /// Builds a slope from its rounds.
    ///
    /// # Panics
    ///
    /// Panics where there is no round.
    pub fn of(
        group: &'static str,
        name: impl AsRef<str>,
        unit: &'static str,
        mut rounds: Vec<f64>,
    ) -> Slope {
        assert!(!rounds.is_empty(), "a slope has at least one round");
        rounds.sort_by(f64::total_cmp);
        Slope {
            group,
            name: name.as_ref().into(),
            value: rounds[rounds.len() / 2],
            low: rounds[0],
            high: rounds[rounds.len() - 1],
            rounds: rounds.len(),
            unit,
        }
    }
}

/// One figure of one round.
#[derive(Clone, Debug)]
pub struct Reading {
    /// As in [`Slope`].
    pub name: CompactString,
    /// As in [`Slope`].
    pub unit: &'static str,
    /// What was measured.
    pub value: f64,
}

/// Turns rounds, each with the same readings in the same order, into slopes.
pub fn gather(group: &'static str, rounds: &[Vec<Reading>]) -> Vec<Slope> {
    let Some(first) = rounds.first() else {
        return Vec::new();
    };
    let slope = |(i, reading): (usize, &Reading)| {
        let values = rounds.iter().map(|round| round[i].value).collect();
        Slope::of(group, &reading.name, reading.unit, values)
    };
    first.iter().enumerate().map(slope).collect()
}

/// All slopes of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The slopes, in the order in which they were measured.
    pub slopes: Vec<Slope>,
    /// How long the run took, in seconds.
    pub seconds: f64,
}

impl Report {
    /// Adds slopes.
    pub fn add(&mut self, slopes: Vec<Slope>) {
        self.slopes.extend(slopes);
    }

    /// The report as a table for people.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let mut group = "";
        for slope in &self.slopes {
            if slope.group != group {
                group = slope.group;
                let _ = writeln!(out, "{group}");
            }
            let (value, unit) = (rounded(slope.value), slope.unit);
            let (low, high) = (rounded(slope.low), rounded(slope.high));
            let (name, rounds) = (&slope.name, slope.rounds);
            let _ = writeln!(
                out,
                "  {name:<64} {value:>10} {unit:<14} {low} to {high}, {rounds} rounds"
            );
        }
        let _ = writeln!(out, "took {:.0} s", self.seconds);
        out
    }
}

/// Three digits that count.
fn rounded(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
