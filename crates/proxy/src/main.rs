//! `pinefront`: the balancer's command line.

mod close_reason;
mod config;
mod connections;
mod discovery;
mod event_loop;
mod fleet;
mod gossip;
mod lifecycle;
mod logging;
mod policy_host;
mod state;
#[cfg(test)]
mod test_harness;

use std::process::ExitCode;

use lexopt::{Arg, Parser};

const HELP: &str = "\
pinefront: a load-balancing proxy for fleets of HTTP servers

  pinefront serve [--config FILE] [--operator FILE]   serves until SIGTERM or SIGINT
  pinefront check [--config FILE] [--operator FILE]   says whether it could start with these
  pinefront fleet --at ADDRESS [--watch] [--json]     what a balancer knows of the others
  pinefront version                                   prints the version
  pinefront help                                      prints this

FILE is what BALANCER_CONFIG names where it is not given. BALANCER_NAME, BALANCER_LISTEN and
BALANCER_DISCOVERY go before what the file says. SIGUSR1 writes the counters to the log; GET /stats
answers with them. The operator file (TOML) switches on what an installation wants beside: see
deploy/operator.toml.
";

fn text(parser: &mut Parser) -> Result<String, String> {
    let value = parser.value().map_err(|problem| problem.to_string())?;
    value.into_string().map_err(|_| "a value is no text".into())
}

fn command() -> Result<(), String> {
    let mut parser = Parser::from_env();
    let (mut command, mut file, mut operator, mut at) = (None, None, None, None);
    let (mut watch, mut json) = (false, false);
    while let Some(arg) = parser.next().map_err(|problem| problem.to_string())? {
        match arg {
            Arg::Long("config") => file = Some(text(&mut parser)?),
            Arg::Long("operator") => operator = Some(text(&mut parser)?),
            Arg::Long("at") => at = Some(text(&mut parser)?),
            Arg::Long("watch") => watch = true,
            Arg::Long("json") => json = true,
            Arg::Long("version") | Arg::Short('V') => command = Some("version".into()),
            Arg::Long("help") | Arg::Short('h') => command = Some("help".into()),
            Arg::Value(value) if command.is_none() => {
                command = Some(value.into_string().map_err(|_| "the command is no text")?);
            }
            other => return Err(format!("{}; see 'pinefront help'", other.unexpected())),
        }
    }
    match command.as_deref() {
        Some("serve") => lifecycle::startup::run(file.as_deref(), operator.as_deref()),
        Some("fleet") => {
            let at = at.ok_or("no balancer named: give --at ADDRESS, where clients reach it")?;
            fleet::show::show(&at, watch, json)
        }
        Some("check") => {
            let (_, config, settings) = config::read(file.as_deref(), &config::variables())?;
            if let Some(operator) = &operator {
                lifecycle::startup::fleet_terms(operator, &config, &settings)?;
            }
            println!("well-formed");
            Ok(())
        }
        Some("version") => {
            println!("pinefront {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            print!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("no command '{other}'; see 'pinefront help'")),
        None => Err(format!("no command given\n\n{HELP}")),
    }
}

fn main() -> ExitCode {
    match command() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pinefront: {problem}");
            ExitCode::FAILURE
        }
    }
}
