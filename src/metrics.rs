//! Pages of metrics in the Prometheus text format, by `prometheus-client`.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::count;

/// Upper bounds of the buckets for times, in seconds: from the shortest tasks (60 ms) to the longest
/// that callers wait (about 5 s), doubled each.
const SECONDS: [f64; 9] = [0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1.0, 2.0, 5.0];

/// How long things took over the life of the process, by a few labels. Clones share their counts.
#[derive(Clone, Debug)]
pub struct Seconds(Family<Labels, Histogram, fn() -> Histogram>);

impl Default for Seconds {
    fn default() -> Seconds {
        Seconds(Family::new_with_constructor(|| Histogram::new(SECONDS)))
    }
}

impl Seconds {
    /// Counts one more, with the values of its labels.
    pub fn observe(&self, labels: &[(&str, &str)], took: time::Duration) {
        let owned = labels
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()));
        let labels: Labels = owned.collect();
        self.0.get_or_create(&labels).observe(took.as_secs_f64());
    }
}

/// When something was last known to be so, for an age on the metrics page. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct LastSeen(Arc<AtomicU64>);

impl LastSeen {
    /// It is so now.
    pub fn touch(&self, now: time::Duration) {
        self.0.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// How long ago that was; none if it never was.
    pub fn age(&self, now: time::Duration) -> Option<time::Duration> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            ms => Some(now.saturating_sub(time::Duration::from_millis(ms))),
        }
    }
}

/// A page that is filled anew for every scrape.
pub struct Page {
    registry: Registry,
}

type Labels = Vec<(String, String)>;

impl Page {
    /// Opens an empty page.
    pub fn open() -> Page {
        Page {
            registry: Registry::with_prefix("lovagemill"),
        }
    }

    /// Adds one value.
    pub fn gauge(&mut self, name: &str, help: &str, value: i64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(value);
        self.registry.register(name, help, gauge);
    }

    /// Adds values that one label tells apart.
    pub fn gauges(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl IntoIterator<Item = (String, i64)>,
    ) {
        let family = Family::<Labels, Gauge>::default();
        for (text, value) in values {
            let labels = vec![(label.to_owned(), text)];
            family.get_or_create(&labels).set(value);
        }
        self.registry.register(name, help, family);
    }

    /// Adds a count that only grows.
    pub fn counter(&mut self, name: &str, help: &str, n: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(n);
        self.registry.register(name, help, counter);
    }

    /// Adds counts that labels tell apart.
    pub fn counters<const N: usize>(
        &mut self,
        name: &str,
        help: &str,
        labels: [&str; N],
        values: impl IntoIterator<Item = ([String; N], u64)>,
    ) {
        let family = Family::<Labels, Counter>::default();
        for (texts, n) in values {
            let pairs = labels.iter().map(|label| label.to_string()).zip(texts);
            family.get_or_create(&pairs.collect()).inc_by(n);
        }
        self.registry.register(name, help, family);
    }

    /// Adds an age in seconds; nothing where there is none.
    pub fn age(&mut self, name: &str, help: &str, age: Option<time::Duration>) {
        if let Some(age) = age {
            let gauge = Gauge::<f64, AtomicU64>::default();
            gauge.set(age.as_secs_f64());
            self.registry.register(name, help, gauge);
        }
    }

    /// Adds times.
    pub fn seconds(&mut self, name: &str, help: &str, seconds: &Seconds) {
        self.registry.register(name, help, seconds.0.clone());
    }

    /// Adds the counts of messages.
    pub fn messages(&mut self, messages: &count::Messages) {
        let counts = messages.by_kind().into_iter();
        let values = counts.map(|(kind, n)| (kind.to_owned(), n as i64));
        let help = "Messages between processes, by kind, at the sender";
        self.gauges("messages", help, "kind", values);
        let owned = |counts: BTreeMap<&'static str, u64>| {
            let pairs = counts.into_iter();
            pairs.map(|(usage, n)| (usage.to_owned(), n as i64))
        };
        let help = "Operations that waited for the platform's budget";
        self.gauges("platform_delayed", help, "usage", owned(messages.delayed()));
        let help = "Operations not sent for lack of the platform's budget";
        self.gauges("platform_refused", help, "usage", owned(messages.refused()));
    }

    /// The page.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
