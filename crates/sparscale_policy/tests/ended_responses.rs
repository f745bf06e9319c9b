//! Replays what is known after the connection of a response without a length was closed, and tests what is concluded
//! about the process that sent it.

use sparscale_policy::termination::{End, Evidence, Listener, Verdict, Witness};

const LISTENERS: [Listener; 5] = [
    Listener::Accepts,
    Listener::Refuses,
    Listener::Unreachable,
    Listener::Answers,
    Listener::Unchecked,
];
const WITNESSES: [Witness; 5] = [
    Witness::Open,
    Witness::Closed,
    Witness::ClosedLater,
    Witness::Lost,
    Witness::Missing,
];

/// An orderly end in calm.
const CALM: Evidence = Evidence {
    end: End::Orderly,
    listener: Listener::Accepts,
    witness: Witness::Open,
    is_due_to_end: false,
    is_replaced: false,
    was_suspended: false,
};

/// All evidence after an orderly end.
fn all_evidence() -> impl Iterator<Item = Evidence> {
    let flags = |bits: u8| [1, 2, 4].map(|bit| bits & bit != 0);
    LISTENERS.into_iter().flat_map(move |listener| {
        WITNESSES.into_iter().flat_map(move |witness| {
            (0..8)
                .map(flags)
                .map(move |[is_due_to_end, is_replaced, was_suspended]| Evidence {
                    end: End::Orderly,
                    listener,
                    witness,
                    is_due_to_end,
                    is_replaced,
                    was_suspended,
                })
        })
    })
}

/// Whether the evidence is that of a target which leaves, and terminates after its last response.
fn is_planned_end(evidence: Evidence) -> bool {
    evidence.witness == Witness::ClosedLater && evidence.is_due_to_end
}

/// A target crashes while this process is suspended for 4 s, and listens again after 2.5 s.
#[test]
fn restarted_while_suspended() {
    let evidence = Evidence {
        witness: Witness::Closed,
        was_suspended: true,
        ..CALM
    };
    assert_ne!(evidence.verdict(), Verdict::Running);
    let without_witness = Evidence {
        witness: Witness::Missing,
        ..evidence
    };
    assert_ne!(without_witness.verdict(), Verdict::Running);
}

/// The next process listens before this one looks, and the roster does not list it yet.
#[test]
fn restarted_at_once() {
    let evidence = Evidence {
        witness: Witness::Closed,
        ..CALM
    };
    assert_eq!(evidence.verdict(), Verdict::Terminated);
}

/// Responses that end with their connection are served.
#[test]
fn orderly_end() {
    assert_eq!(CALM.verdict(), Verdict::Running);
    for evidence in all_evidence().filter(|evidence| evidence.witness == Witness::Open) {
        assert_eq!(evidence.verdict(), Verdict::Running, "{evidence:?}");
    }
}

/// Without an open witness nothing shows that the process still ran, whatever listens at its address.
#[test]
fn never_without_proof() {
    let without_proof = |evidence: &Evidence| evidence.witness != Witness::Open && !is_planned_end(*evidence);
    for evidence in all_evidence().filter(without_proof) {
        assert_ne!(evidence.verdict(), Verdict::Running, "{evidence:?}");
    }
}

/// A target that leaves terminates right after its last response, which it ended before: the response is whole, also if
/// its successor is listed by then, or this process was suspended meanwhile.
#[test]
fn planned_ends() {
    for evidence in all_evidence().filter(|evidence| is_planned_end(*evidence)) {
        assert_eq!(evidence.verdict(), Verdict::Running, "{evidence:?}");
    }
}

/// The order of the ends alone is no proof, and neither is the announcement.
#[test]
fn unplanned_ends() {
    let is_half = |evidence: &Evidence| match evidence.witness {
        Witness::ClosedLater => !evidence.is_due_to_end,
        Witness::Closed => evidence.is_due_to_end,
        _ => false,
    };
    for evidence in all_evidence().filter(is_half) {
        assert_ne!(evidence.verdict(), Verdict::Running, "{evidence:?}");
    }
}

/// A target closes idle connections, the response goes on, and its end is no sign of a termination.
#[test]
fn idle_closes() {
    for witness in [Witness::Lost, Witness::Missing] {
        assert_eq!(Evidence { witness, ..CALM }.verdict(), Verdict::Unknown);
    }
}

/// Without an open witness, any sign of a termination suffices.
#[test]
fn terminations_recognized() {
    let without_proof = |evidence: &Evidence| evidence.witness != Witness::Open && !is_planned_end(*evidence);
    for evidence in all_evidence().filter(without_proof) {
        if evidence.listener == Listener::Refuses {
            assert_eq!(evidence.verdict(), Verdict::Terminated, "{evidence:?}");
        }
        if evidence.is_replaced || evidence.was_suspended || evidence.witness == Witness::Closed {
            assert_ne!(evidence.verdict(), Verdict::Running, "{evidence:?}");
        }
    }
}

/// A target resets the response and goes on running, so its witness is open.
#[test]
fn reset_responses() {
    for evidence in all_evidence() {
        let reset = Evidence {
            end: End::Broken,
            ..evidence
        };
        assert_ne!(reset.verdict(), Verdict::Running, "{reset:?}");
    }
}
