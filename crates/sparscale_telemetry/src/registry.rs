//! Registry of a process's metrics (counters, gauges and latency histograms), rendered in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Upper bounds of the histograms' buckets, in milliseconds; denser around the common latency objectives.
const BUCKETS_MS: [u64; 14] = [1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1_000, 2_000, 5_000, 10_000];
/// Maximum number of series per family. Labels come from the code, not from callers, so it is never reached.
const MAX_SERIES_PER_FAMILY: usize = 256;

/// Value that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds 1.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Adds `count`.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the current count.
    pub fn value(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Value that increases and decreases, as the bits of a floating-point number.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn value(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// Distribution of durations over buckets.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: [AtomicU64; BUCKETS_MS.len()],
    count: AtomicU64,
    sum_micros: AtomicU64,
}

impl Histogram {
    /// Records one duration.
    pub fn record(&self, duration: Duration) {
        let micros = duration.as_micros() as u64;
        let bucket = BUCKETS_MS.iter().position(|bound| micros <= bound * 1_000);
        if let Some(bucket) = bucket {
            self.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        }
        self.count.fetch_add(1, Ordering::Relaxed);
        self.sum_micros.fetch_add(micros, Ordering::Relaxed);
    }
}

#[derive(Debug, Clone)]
enum Series {
    Counter(Arc<Counter>),
    Gauge(Arc<Gauge>),
    Histogram(Arc<Histogram>),
}

#[derive(Debug)]
struct Family {
    help: &'static str,
    series: BTreeMap<String, Series>,
}

/// Callback that updates gauges before the metrics are rendered.
type RefreshCallback = Box<dyn Fn() + Send + Sync>;

/// All metrics of one process.
#[derive(Default)]
pub struct Registry {
    families: Mutex<BTreeMap<&'static str, Family>>,
    refresh_callbacks: Mutex<Vec<RefreshCallback>>,
}

impl std::fmt::Debug for Registry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Registry").finish_non_exhaustive()
    }
}

impl Registry {
    /// Returns the counter `name` with `labels`; creates it on the first call.
    pub fn counter(&self, name: &'static str, help: &'static str, labels: &[(&str, &str)]) -> Arc<Counter> {
        match self.series(name, help, labels, || Series::Counter(Arc::default())) {
            Series::Counter(counter) => counter,
            _ => Arc::default(),
        }
    }

    /// Returns the gauge `name` with `labels`; creates it on the first call.
    pub fn gauge(&self, name: &'static str, help: &'static str, labels: &[(&str, &str)]) -> Arc<Gauge> {
        match self.series(name, help, labels, || Series::Gauge(Arc::default())) {
            Series::Gauge(gauge) => gauge,
            _ => Arc::default(),
        }
    }

    /// Returns the histogram `name` with `labels`; creates it on the first call.
    pub fn histogram(&self, name: &'static str, help: &'static str, labels: &[(&str, &str)]) -> Arc<Histogram> {
        match self.series(name, help, labels, || Series::Histogram(Arc::default())) {
            Series::Histogram(histogram) => histogram,
            _ => Arc::default(),
        }
    }

    /// Registers a callback that is called before each rendering, for gauges that aren't updated elsewhere.
    pub fn before_render(&self, refresh: impl Fn() + Send + Sync + 'static) {
        let mut refresh_callbacks = self.refresh_callbacks.lock().unwrap_or_else(PoisonError::into_inner);
        refresh_callbacks.push(Box::new(refresh));
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        for refresh in self
            .refresh_callbacks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .iter()
        {
            refresh();
        }
        let families = self.families.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, family) in families.iter() {
            family.write(name, &mut text);
        }
        text
    }

    fn series(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&str, &str)],
        create: impl FnOnce() -> Series,
    ) -> Series {
        let mut families = self.families.lock().unwrap_or_else(PoisonError::into_inner);
        let family = families.entry(name).or_insert_with(|| Family {
            help,
            series: BTreeMap::new(),
        });
        let labels = label_text(labels);
        if let Some(existing) = family.series.get(&labels) {
            return existing.clone();
        }
        let new_series = create();
        if family.series.len() < MAX_SERIES_PER_FAMILY {
            family.series.insert(labels, new_series.clone());
        }
        new_series
    }
}

fn label_text(labels: &[(&str, &str)]) -> String {
    let pairs: Vec<String> = labels
        .iter()
        .map(|(name, value)| format!("{name}=\"{value}\""))
        .collect();
    pairs.join(",")
}

impl Family {
    fn write(&self, name: &str, text: &mut String) {
        let kind = match self.series.values().next() {
            Some(Series::Counter(_)) => "counter",
            Some(Series::Gauge(_)) => "gauge",
            Some(Series::Histogram(_)) => "histogram",
            None => return,
        };
        // Writing to a string can't fail.
        let _infallible = writeln!(text, "# HELP {name} {}\n# TYPE {name} {kind}", self.help);
        for (labels, series) in &self.series {
            match series {
                Series::Counter(counter) => write_sample(text, name, labels, &counter.value().to_string()),
                Series::Gauge(gauge) => write_sample(text, name, labels, &gauge.value().to_string()),
                Series::Histogram(histogram) => histogram.write(name, labels, text),
            }
        }
    }
}

impl Histogram {
    fn write(&self, name: &str, labels: &str, text: &mut String) {
        let comma = if labels.is_empty() { "" } else { "," };
        let mut cumulative_count = 0;
        for (bucket, bound) in self.buckets.iter().zip(BUCKETS_MS) {
            cumulative_count += bucket.load(Ordering::Relaxed);
            let bound = bound as f64 / 1_000.0;
            let labels = format!("{labels}{comma}le=\"{bound}\"");
            write_sample(text, &format!("{name}_bucket"), &labels, &cumulative_count.to_string());
        }
        let count = self.count.load(Ordering::Relaxed).to_string();
        write_sample(
            text,
            &format!("{name}_bucket"),
            &format!("{labels}{comma}le=\"+Inf\""),
            &count,
        );
        let seconds = self.sum_micros.load(Ordering::Relaxed) as f64 / 1.0e6;
        write_sample(text, &format!("{name}_sum"), labels, &seconds.to_string());
        write_sample(text, &format!("{name}_count"), labels, &count);
    }
}

fn write_sample(text: &mut String, name: &str, labels: &str, value: &str) {
    let labels = if labels.is_empty() {
        String::new()
    } else {
        format!("{{{labels}}}")
    };
    let _infallible = writeln!(text, "{name}{labels} {value}");
}
