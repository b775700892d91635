//! Runs the balancing policy for a simulator: reads batches of events from standard input, and
//! writes one line of actions for each batch to standard output. The adapter only converts between
//! the simulator's wire format and the interface of the policy.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use crate::actions::Reply;
use crate::error::AdapterError;
use crate::events::Batch;
use crate::instances::Instances;

mod actions;
mod error;
mod events;
mod instances;

/// Writes a reply for every batch of the input.
fn run(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let reply = Reply::default();
    let mut instances = Instances::new(reply.clone());
    for line in input.lines() {
        let line = line.map_err(AdapterError::Read)?;
        let batch: Batch = serde_json::from_str(&line).map_err(AdapterError::Batch)?;
        reply.begin();
        for (position, event) in batch.events.iter().enumerate() {
            instances
                .handle(batch.now, event)
                .map_err(|error| AdapterError::Message {
                    position,
                    time: batch.now,
                    error,
                })?;
        }
        output
            .write_all(reply.finish().as_bytes())
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinefront-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
