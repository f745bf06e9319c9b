//! Replays services whose responses have a length or not, and tests which framing is expected next.

use sparscale_policy::framing::{Framing, History};

fn history(framings: &[Framing]) -> History {
    let mut history = History::default();
    for framing in framings {
        history.record(*framing);
    }
    history
}

#[test]
fn one_framing() {
    assert_eq!(History::default().prediction(), None);
    for framing in [Framing::Delimited, Framing::Undelimited] {
        for count in [1, 5, 40] {
            assert_eq!(history(&vec![framing; count]).prediction(), Some(framing), "{count}");
        }
    }
}

/// A few responses with a length, for instance to control requests, do not hide that streams have none.
#[test]
fn mixed_framings() {
    let mixed = [
        Framing::Undelimited,
        Framing::Delimited,
        Framing::Delimited,
        Framing::Delimited,
    ];
    assert_eq!(history(&mixed.repeat(10)).prediction(), Some(Framing::Undelimited));
}

/// Connections are reused again once responses have lengths.
#[test]
fn changed_framing() {
    let mut framings = vec![Framing::Undelimited; 30];
    framings.extend([Framing::Delimited; 13]);
    assert_eq!(history(&framings).prediction(), Some(Framing::Delimited));
}
