//! Stand-ins and cases of the second review.

mod cut_answers;
mod idle_channels;
mod net;
mod release;
mod server;
mod slow_crowd;
mod stale_key;
mod store;
mod streams;
mod system;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("server") => server::run(&arguments[1..]),
        Some("idle-channels") => std::process::exit(idle_channels::run(&arguments[1])),
        Some("release") => std::process::exit(release::run(&arguments[1])),
        Some("slow-crowd") => std::process::exit(slow_crowd::run(&arguments[1])),
        Some("stale-key") => std::process::exit(stale_key::run(&arguments[1])),
        Some("cut-answers") => std::process::exit(cut_answers::run(&arguments[1])),
        _ => system::unable("no such case"),
    }
}
