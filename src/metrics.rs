//! Pages of metrics in the Prometheus text format, by `prometheus-client`.

use std::collections::BTreeMap;
use std::time;

use prometheus_client::encoding::text;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::count;

/// Upper bounds of the buckets for times, in seconds: from the shortest tasks (60 ms) to the longest
/// that callers wait (about 5 s), doubled each.
const SECONDS: [f64; 9] = [0.01, 0.03, 0.06, 0.12, 0.25, 0.5, 1.0, 2.0, 5.0];

/// How long things took over the life of the process, by one label. Clones share their counts.
#[derive(Clone, Debug)]
pub struct Seconds(Family<Labels, Histogram, fn() -> Histogram>);

impl Default for Seconds {
    fn default() -> Seconds {
        Seconds(Family::new_with_constructor(|| Histogram::new(SECONDS)))
    }
}

impl Seconds {
    /// Counts one more.
    pub fn observe(&self, label: &str, value: &str, took: time::Duration) {
        let labels = vec![(label.to_owned(), value.to_owned())];
        self.0.get_or_create(&labels).observe(took.as_secs_f64());
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
