//! A store that came back from an older copy has lost strikes: they are told to it again, and those it still has are not.

use std::time::Duration;

use sparscale_quarantine::{End, Fingerprint, News, Register, Standing, Strike};

const NOW_MS: u64 = 1_000_000;
const MARGIN: Duration = Duration::from_secs(2);

fn strike(content: &str, end: &str) -> Strike {
    Strike {
        request: Fingerprint::of("POST", content, None, b""),
        end: End::of(end, Some(1)),
        at_ms: NOW_MS - 60_000,
        standing: Standing::Counts,
    }
}

/// Strikes that the store had before it was restored.
fn known() -> (Register, [Strike; 2]) {
    let strikes = [strike("/a", "m-1"), strike("/b", "m-2")];
    let mut register = Register::default();
    for strike in strikes {
        register.take_in(strike, News::Read, NOW_MS - 30_000);
    }
    (register, strikes)
}

#[test]
fn lost_told_again() {
    let (mut register, strikes) = known();
    assert!(register.untold().is_empty());
    register.doubt_store();
    register.read(&strikes[..1], NOW_MS, MARGIN, NOW_MS);
    assert_eq!(register.untold(), strikes[1..]);
}

#[test]
fn told_once() {
    let (mut register, strikes) = known();
    register.doubt_store();
    register.read(&[], NOW_MS, MARGIN, NOW_MS);
    for strike in register.untold() {
        register.take_in(strike, News::Read, NOW_MS);
    }
    register.read(&strikes, NOW_MS + 1_000, MARGIN, NOW_MS + 1_000);
    assert!(register.untold().is_empty());
}

/// A reading without a restore lacks what was dropped as too old, which is not told again.
#[test]
fn dropped_not_told() {
    let (mut register, _) = known();
    register.read(&[], NOW_MS, MARGIN, NOW_MS);
    assert!(register.untold().is_empty());
}
