//! A process's own figures: counters, levels and latency histograms, told as text on request.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Upper bounds of the histograms' buckets, in milliseconds: close around the latency objectives that are in use.
const BUCKETS_MS: [u64; 14] = [1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 1_000, 2_000, 5_000, 10_000];
/// Series of one family; labels come from the code, not from callers, so this is never reached.
const MAX_SERIES: usize = 256;

/// Something that only rises.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Counts one.
    pub fn add_one(&self) {
        self.add(1);
    }

    /// Counts `count`.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// What was counted.
    pub fn value(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A level that rises and falls, as a floating-point number.
#[derive(Debug, Default)]
pub struct Gauge(AtomicU64);

impl Gauge {
    /// Sets the level.
    pub fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }

    /// The level.
    pub fn value(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// Times, by buckets.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: [AtomicU64; BUCKETS_MS.len()],
    count: AtomicU64,
    micros: AtomicU64,
}

impl Histogram {
    /// Notes one time.
    pub fn note(&self, took: Duration) {
        let micros = took.as_micros() as u64;
        let bucket = BUCKETS_MS.iter().position(|bound| micros <= bound * 1_000);
        if let Some(bucket) = bucket {
            self.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        }
        self.count.fetch_add(1, Ordering::Relaxed);
        self.micros.fetch_add(micros, Ordering::Relaxed);
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

/// Something that sets levels before they are told.
type Refresh = Box<dyn Fn() + Send + Sync>;

/// All figures of one process.
#[derive(Default)]
pub struct Registry {
    families: Mutex<BTreeMap<&'static str, Family>>,
    refreshes: Mutex<Vec<Refresh>>,
}

impl std::fmt::Debug for Registry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Registry").finish_non_exhaustive()
    }
}

impl Registry {
    /// The counter called `name` with `labels`, made when it is first asked for.
    pub fn counter(&self, name: &'static str, help: &'static str, labels: &[(&str, &str)]) -> Arc<Counter> {
        match self.series(name, help, labels, || Series::Counter(Arc::default())) {
            Series::Counter(counter) => counter,
            _ => Arc::default(),
        }
    }

    /// The level called `name` with `labels`, made when it is first asked for.
    pub fn gauge(&self, name: &'static str, help: &'static str, labels: &[(&str, &str)]) -> Arc<Gauge> {
        match self.series(name, help, labels, || Series::Gauge(Arc::default())) {
            Series::Gauge(gauge) => gauge,
            _ => Arc::default(),
        }
    }

    /// The histogram called `name` with `labels`, made when it is first asked for.
    pub fn histogram(&self, name: &'static str, help: &'static str, labels: &[(&str, &str)]) -> Arc<Histogram> {
        match self.series(name, help, labels, || Series::Histogram(Arc::default())) {
            Series::Histogram(histogram) => histogram,
            _ => Arc::default(),
        }
    }

    /// Has `refresh` called each time before the figures are told: for levels that nobody sets otherwise.
    pub fn before_telling(&self, refresh: impl Fn() + Send + Sync + 'static) {
        let mut refreshes = self.refreshes.lock().unwrap_or_else(PoisonError::into_inner);
        refreshes.push(Box::new(refresh));
    }

    /// All figures in the usual text form.
    pub fn text(&self) -> String {
        for refresh in self.refreshes.lock().unwrap_or_else(PoisonError::into_inner).iter() {
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
        make: impl FnOnce() -> Series,
    ) -> Series {
        let mut families = self.families.lock().unwrap_or_else(PoisonError::into_inner);
        let family = families.entry(name).or_insert_with(|| Family {
            help,
            series: BTreeMap::new(),
        });
        let labels = label_text(labels);
        if let Some(known) = family.series.get(&labels) {
            return known.clone();
        }
        let fresh = make();
        if family.series.len() < MAX_SERIES {
            family.series.insert(labels, fresh.clone());
        }
        fresh
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
        // Writing into memory has no way to fail.
        let _infallible = writeln!(text, "# HELP {name} {}\n# TYPE {name} {kind}", self.help);
        for (labels, series) in &self.series {
            match series {
                Series::Counter(counter) => line(text, name, labels, &counter.value().to_string()),
                Series::Gauge(gauge) => line(text, name, labels, &gauge.value().to_string()),
                Series::Histogram(histogram) => histogram.write(name, labels, text),
            }
        }
    }
}

impl Histogram {
    fn write(&self, name: &str, labels: &str, text: &mut String) {
        let comma = if labels.is_empty() { "" } else { "," };
        let mut sum = 0;
        for (bucket, bound) in self.buckets.iter().zip(BUCKETS_MS) {
            sum += bucket.load(Ordering::Relaxed);
            let bound = bound as f64 / 1_000.0;
            let labels = format!("{labels}{comma}le=\"{bound}\"");
            line(text, &format!("{name}_bucket"), &labels, &sum.to_string());
        }
        let count = self.count.load(Ordering::Relaxed).to_string();
        line(
            text,
            &format!("{name}_bucket"),
            &format!("{labels}{comma}le=\"+Inf\""),
            &count,
        );
        let seconds = self.micros.load(Ordering::Relaxed) as f64 / 1.0e6;
        line(text, &format!("{name}_sum"), labels, &seconds.to_string());
        line(text, &format!("{name}_count"), labels, &count);
    }
}

fn line(text: &mut String, name: &str, labels: &str, value: &str) {
    let labels = if labels.is_empty() {
        String::new()
    } else {
        format!("{{{labels}}}")
    };
    let _infallible = writeln!(text, "{name}{labels} {value}");
}
