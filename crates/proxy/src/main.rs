//! Command line of the balancer, `pinefront`.

#![cfg_attr(
    test,
    // Long tests that list all their cases in one place are easier to read than split ones.
    allow(
        clippy::default_trait_access,
        clippy::needless_for_each,
        clippy::too_many_lines
    )
)]

mod close_reason;
mod cluster;
mod config;
mod connections;
mod discovery;
mod event_loop;
mod gossip;
mod lifecycle;
mod logging;
mod policy_host;
mod state;
#[cfg(test)]
mod test_harness;

use std::process::ExitCode;

use lexopt::{Arg, Parser};
use thiserror::Error;

use crate::cluster::view_command::{self, ViewError};
use crate::config::LoadError;
use crate::lifecycle::error::StartupError;
use crate::lifecycle::startup;

const HELP: &str = "\
pinefront: a load-balancing proxy for fleets of HTTP servers

  pinefront serve [--config FILE] [--operator FILE]   serves until SIGTERM or SIGINT
  pinefront check [--config FILE] [--operator FILE]   checks whether the files are valid
  pinefront fleet --at ADDRESS [--watch] [--json]     shows a balancer's view of its cluster
  pinefront version                                   prints the version
  pinefront help                                      prints this help

Without --config, BALANCER_CONFIG names the file. BALANCER_NAME, BALANCER_LISTEN and
BALANCER_DISCOVERY override its fields. SIGUSR1 logs the counters, and GET /stats returns them.
The operator file (TOML) enables optional subsystems: see deploy/operator.toml.
";

/// The reason why a command fails.
#[derive(Debug, Error)]
enum CommandError {
    #[error("{0}")]
    Arguments(lexopt::Error),
    #[error("{0}; see 'pinefront help'")]
    UnexpectedArgument(lexopt::Error),
    #[error("the value of an option is not valid UTF-8")]
    ValueNotUtf8,
    #[error("the command is not valid UTF-8")]
    CommandNotUtf8,
    #[error("no command given\n\n{HELP}")]
    NoCommand,
    #[error("unknown command '{0}'; see 'pinefront help'")]
    UnknownCommand(String),
    #[error("missing option --at ADDRESS: the address on which the balancer serves clients")]
    NoBalancerAddress,
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error(transparent)]
    Startup(#[from] StartupError),
    #[error(transparent)]
    View(#[from] ViewError),
}

/// The arguments of the command line.
#[derive(Default)]
struct Arguments {
    command: Option<String>,
    config_file: Option<String>,
    operator_file: Option<String>,
    /// Address of the balancer whose view is shown.
    at: Option<String>,
    watch: bool,
    json: bool,
}

impl Arguments {
    fn parse(mut parser: Parser) -> Result<Self, CommandError> {
        let mut arguments = Self::default();
        while let Some(argument) = parser.next().map_err(CommandError::Arguments)? {
            match argument {
                Arg::Long("config") => arguments.config_file = Some(text(&mut parser)?),
                Arg::Long("operator") => arguments.operator_file = Some(text(&mut parser)?),
                Arg::Long("at") => arguments.at = Some(text(&mut parser)?),
                Arg::Long("watch") => arguments.watch = true,
                Arg::Long("json") => arguments.json = true,
                Arg::Long("version") | Arg::Short('V') => {
                    arguments.command = Some("version".into());
                }
                Arg::Long("help") | Arg::Short('h') => arguments.command = Some("help".into()),
                Arg::Value(value) if arguments.command.is_none() => {
                    let command = value.into_string();
                    let command = command.map_err(|_| CommandError::CommandNotUtf8)?;
                    arguments.command = Some(command);
                }
                other => return Err(CommandError::UnexpectedArgument(other.unexpected())),
            }
        }
        Ok(arguments)
    }

    fn run(&self) -> Result<(), CommandError> {
        match self.command.as_deref() {
            Some("serve") => {
                let operator_file = self.operator_file.as_deref();
                startup::run(self.config_file.as_deref(), operator_file)?;
            }
            Some("fleet") => {
                let at = self.at.as_deref().ok_or(CommandError::NoBalancerAddress)?;
                view_command::run(at, self.watch, self.json)?;
            }
            Some("check") => self.check()?,
            Some("version") => println!("pinefront {}", env!("CARGO_PKG_VERSION")),
            Some("help") => print!("{HELP}"),
            Some(other) => return Err(CommandError::UnknownCommand(other.to_owned())),
            None => return Err(CommandError::NoCommand),
        }
        Ok(())
    }

    /// Reads and validates the files in the same way as at startup.
    fn check(&self) -> Result<(), CommandError> {
        let loaded = config::load(self.config_file.as_deref(), &config::variables())?;
        if let Some(operator_file) = &self.operator_file {
            startup::read_operator_file(operator_file, &loaded.config, &loaded.settings)?;
        }
        if let Some(wanted) = loaded.config.reduced_from {
            let allowed = loaded.config.max_client_connections;
            println!(
                "field 'limits.memory_mb' allows {allowed} client connections, \
                 field 'limits.sockets' allows {wanted}: {allowed} are used"
            );
        }
        println!("well-formed");
        Ok(())
    }
}

fn text(parser: &mut Parser) -> Result<String, CommandError> {
    let value = parser.value().map_err(CommandError::Arguments)?;
    value.into_string().map_err(|_| CommandError::ValueNotUtf8)
}

fn main() -> ExitCode {
    let result = Arguments::parse(Parser::from_env()).and_then(|arguments| arguments.run());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinefront: {error}");
            ExitCode::FAILURE
        }
    }
}
