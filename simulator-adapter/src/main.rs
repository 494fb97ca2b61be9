//! Hosts one [`Admission`](oakwind_admission::Admission) for each backend of the simulator and speaks the simulator's wire
//! protocol on standard input and output. The instances share no state.

mod error;
mod host;
mod wire;

use std::io::{self, Read, Write};
use std::process::ExitCode;

use error::AdapterError;
use host::Host;

/// Replies to each input frame with one output frame; returns when the input ends on a frame boundary.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    while let Some(body) = wire::read_frame(input)? {
        let frame = host.handle_frame(&body)?.frame();
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(|error| AdapterError::Write(error.to_string()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = io::BufReader::new(io::stdin().lock());
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oakwind-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
