//! Pages of metrics in the Prometheus text format, by `prometheus-client`.

use std::collections::BTreeMap;

use prometheus_client::encoding::text;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::count;

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
