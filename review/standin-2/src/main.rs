//! Stand-ins and cases of the second review.

mod cut_answers;
mod net;
mod server;
mod store;
mod system;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("server") => server::run(&arguments[1..]),
        Some("cut-answers") => std::process::exit(cut_answers::run(&arguments[1])),
        _ => system::unable("no such case"),
    }
}
