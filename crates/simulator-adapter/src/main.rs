//! Plays the decisions of pinefront on a simulator's wire: batches of events on standard input, one
//! line of actions for each on standard output. It decodes fields and passes them on; it decides
//! nothing.

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

/// Answers every batch of the input.
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
            .write_all(reply.take().as_bytes())
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
