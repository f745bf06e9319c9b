//! Stand-ins for the cases of the review: the platform's store, a server, callers, and the order of events of each case.

mod case1;
mod case2;
mod case3;
mod common;
mod http;
mod rank;
mod server;
mod store;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match words.as_slice() {
        ["server", address, id, log] => match address.parse() {
            Ok(address) => server::serve(address, id, log).map(|()| common::HELD),
            Err(_) => Ok(common::CANNOT_RUN),
        },
        ["rank", address, rest @ ..] => match address.parse() {
            Ok(address) => rank::serve(address, rest).map(|()| common::HELD),
            Err(_) => Ok(common::CANNOT_RUN),
        },
        ["case1", root, record] => case1::run(Path::new(root), Path::new(record), trouble),
        ["case2", root, record] => case2::run(Path::new(root), Path::new(record), trouble),
        ["case3", root, record] => case3::run(Path::new(root), Path::new(record), trouble),
        _ => {
            eprintln!("usage: review_standin CASE ROOT RECORD");
            Ok(common::CANNOT_RUN)
        }
    };
    let code = result.unwrap_or_else(|error| {
        eprintln!("the case cannot run: {error}");
        common::CANNOT_RUN
    });
    std::process::exit(code);
}
