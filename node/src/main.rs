//! `pinefront`: the balancer's command line.

mod life;
mod memory;
#[cfg(test)]
mod stand;
mod wire;

use std::process::ExitCode;

use lexopt::{Arg, Parser};

const HELP: &str = "\
pinefront: a load-balancing proxy for fleets of HTTP servers

  pinefront serve [--config FILE]   serves until SIGTERM or SIGINT
  pinefront check [--config FILE]   says whether a balancer could start with that file
  pinefront version                 prints the version
  pinefront help                    prints this

FILE is what BALANCER_CONFIG names where it is not given. BALANCER_NAME, BALANCER_LISTEN and
BALANCER_DISCOVERY go before what the file says. SIGUSR1 writes the counters to the log; GET /stats
answers with them.
";

fn command() -> Result<(), String> {
    let mut parser = Parser::from_env();
    let (mut command, mut file) = (None, None);
    while let Some(arg) = parser.next().map_err(|problem| problem.to_string())? {
        match arg {
            Arg::Long("config") => {
                let value = parser.value().map_err(|problem| problem.to_string())?;
                file = Some(value.into_string().map_err(|_| "the file's name is no text")?);
            }
            Arg::Long("version") | Arg::Short('V') => command = Some("version".into()),
            Arg::Long("help") | Arg::Short('h') => command = Some("help".into()),
            Arg::Value(value) if command.is_none() => {
                command = Some(value.into_string().map_err(|_| "the command is no text")?);
            }
            other => return Err(format!("{}; see 'pinefront help'", other.unexpected())),
        }
    }
    match command.as_deref() {
        Some("serve") => life::start::run(file.as_deref()),
        Some("check") => {
            life::place::read(file.as_deref(), &life::place::variables())?;
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
