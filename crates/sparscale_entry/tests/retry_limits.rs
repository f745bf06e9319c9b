//! Only first attempts earn retries.
//!
//! Guards against a budget that starts with retries, ten for instance: a process that an overload terminates again and
//! again would then send ten more with each restart, which the budget exists to prevent.

use sparscale_entry::limits::RetryBudget;

/// Twenty processes run one after the other; each makes five first attempts, which earn a fifth of a retry each.
#[test]
fn restarts_grant_no_retries() {
    let mut retries = 0;
    for _ in 0..20 {
        let budget = RetryBudget::default();
        (0..5).for_each(|_| budget.record_request(20));
        retries += (0..20).filter(|_| budget.try_spend()).count();
    }
    assert!(retries <= 20, "{retries} retries for 100 first attempts");
}
