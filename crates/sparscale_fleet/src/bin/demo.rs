//! Runs a complete system on loopback, sends requests through every entry and prints the logged routing decisions.

use std::process::ExitCode;

use sparscale_fleet::{Fleet, Plan};

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sparscale-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    println!("starting log, box list, weight store, 2 ranks, 1 plain service, 3 agents, 2 entries on loopback");
    let fleet = Fleet::start("demo", Plan::default()).await?;
    let status = fleet.run_operator("carol", &["bundle", "status"]).await?;
    println!(
        "\n== sparscale bundle status\n{}",
        String::from_utf8_lossy(&status.stdout).trim()
    );
    for entry in fleet.plan().entry_names() {
        show_requests(&fleet, &entry).await?;
    }
    println!("\n== decision log lines of entry-0 and rank-0");
    for name in ["entry-0", "rank-0"] {
        let log = fleet.log_of(name);
        let decisions = log.lines().filter(|line| line.contains("sparscale::decision"));
        for line in decisions.collect::<Vec<_>>().iter().rev().take(2) {
            println!("{name}: {line}");
        }
    }
    println!("\nstopping all processes by id");
    Ok(())
}

async fn show_requests(fleet: &Fleet, entry: &str) -> Result<(), String> {
    let prompt = "Explain the repayment schedule of a 25-year mortgage";
    let mut stream = fleet.stream_chat(entry, "teal", prompt, 4).await?;
    println!(
        "\n== a streamed model answer through {entry}\n{}",
        stream.read_remainder().await?.trim()
    );
    let response = fleet.send_chat(entry, "umber", prompt, 4).await?;
    println!("\n== a whole model answer through {entry}\n{}", response.text());
    let illustration = fleet
        .call_service(entry, "illustration", "{\"loan\": 180000}", &[])
        .await?;
    println!("\n== a plain service's answer through {entry}\n{}", illustration.text());
    Ok(())
}
