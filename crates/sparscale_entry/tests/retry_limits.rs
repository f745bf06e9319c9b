//! Retries are paid for by first attempts alone.
//!
//! A process that started had ten retries before any first attempt. One that ends and starts again over and over, as under
//! an overload that ends it, then sends ten more with each start, which is what the budget is there to prevent.

use sparscale_entry::limits::RetryBudget;

/// Twenty processes follow each other, each with five first attempts that earn a fifth of a retry.
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
