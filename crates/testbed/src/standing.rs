//! Stand-ins alone: a fleet and discovery for a balancer that is started by hand, and a page that shows the servers and
//! takes faults.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pinefront_model::scenario::Scenario;
use pinefront_model::validation;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::play::{drive, runtime, start_servers};
use crate::world::World;
use crate::{balancers, discovery, http};

const LOOKS_APART: Duration = Duration::from_millis(100);

pub fn stand_alone(
    scenario: &Scenario,
    page: SocketAddr,
    listen: SocketAddr,
    config: &Path,
    over: &AtomicBool,
) -> Result<(), String> {
    let runtime = runtime().map_err(|problem| format!("cannot start threads: {problem}"))?;
    let world = Arc::new(World::new(scenario.clone(), scenario.seed));
    let done = runtime.block_on(async {
        start_servers(&world).await?;
        let discovery = discovery::serve(&world, 0)
            .await
            .map_err(|problem| format!("cannot start discovery: {problem}"))?;
        let pages = TcpListener::bind(page)
            .await
            .map_err(|problem| format!("cannot listen on {page} for the page: {problem}"))?;
        let page = pages.local_addr().map_err(|problem| problem.to_string())?;
        let told = json!({
            "name": "b0", "listen": listen.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{:016x}", scenario.seed), "settings": balancers::settings(scenario, 0),
        });
        std::fs::write(config, format!("{told:#}\n"))
            .map_err(|problem| format!("{}: {problem}", config.display()))?;
        world.clock.begin();
        // No balancers here that faults could hit.
        let (events, _) = mpsc::unbounded_channel();
        tokio::spawn(drive(Arc::clone(&world), events));
        tokio::spawn(take_pages(Arc::clone(&world), pages));
        println!("{} servers stand; discovery at {discovery}", world.stands().len());
        println!("  a balancer before them:  pinefront serve --config {}", config.display());
        println!("  servers and faults:      http://{page}/");
        println!("  a fault by hand:         curl -d 'kind=freeze&servers=0,1&for=5s' http://{page}/fault");
        while !over.load(Ordering::Relaxed) {
            tokio::time::sleep(LOOKS_APART).await;
        }
        Ok(())
    });
    runtime.shutdown_background();
    done
}

async fn take_pages(world: Arc<World>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => _ = tokio::spawn(page(Arc::clone(&world), stream)),
            Err(_) => tokio::time::sleep(LOOKS_APART).await,
        }
    }
}

async fn page(world: Arc<World>, mut stream: TcpStream) {
    let mut kept = Vec::new();
    let Some(asked) = http::next_request(&mut stream, &mut kept).await else {
        return;
    };
    let form = String::from_utf8_lossy(&kept[asked.head..asked.end]).into_owned();
    const HTML: &str = "Content-Type: text/html; charset=utf-8\r\nConnection: close\r\n";
    const TEXT: &str = "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n";
    let (status, fields, body) = match (asked.method.as_str(), asked.path.as_str()) {
        ("GET", "/") => ("200 OK", HTML, servers(&world)),
        ("POST", "/fault") => match add(&world, &form) {
            Ok(text) => ("200 OK", TEXT, text),
            Err(problem) => ("400 Bad Request", TEXT, format!("{problem}\n")),
        },
        _ => ("404 Not Found", TEXT, "GET / or POST /fault\n".to_owned()),
    };
    // Whoever asked may be gone.
    let _ = http::answer(&mut stream, status, fields, &body).await;
}

/// A form's text without its escapes; what is no text is left out.
fn plain(text: &str) -> String {
    let bytes = text.replace('+', " ").into_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten();
        let byte = hex
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        out.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A form as the TOML of a fault: `at` is now unless it is said.
fn fault_text(form: &str) -> Result<String, String> {
    let mut text = String::new();
    let mut at_said = false;
    for (name, value) in form
        .trim()
        .split('&')
        .filter_map(|field| field.split_once('='))
    {
        let (name, value) = (plain(name), plain(value));
        let value = value.trim();
        if value.is_empty() {
            continue;
        }
        at_said |= name == "at";
        // Nothing but these reaches the decoder, so a form can't smuggle in further fields.
        let word = match name.as_str() {
            "servers" => format!("[{value}]"),
            "part" | "factor" => value.to_owned(),
            "kind" | "at" | "for" | "zone" | "machine" | "by" | "over" => format!("{value:?}"),
            _ => return Err(format!("no field '{name}'")),
        };
        if word.contains('\n') {
            return Err(format!("field '{name}' holds a line break"));
        }
        // Writing to a text cannot fail.
        let _ = writeln!(text, "{name} = {word}");
    }
    if !at_said {
        text.push_str("at = \"0s\"\n");
    }
    Ok(text)
}

fn add(world: &World, form: &str) -> Result<String, String> {
    let fault = validation::read_single_fault(&world.scenario, &fault_text(form)?, world.now())
        .map_err(|problem| problem.to_string())?;
    world.add_fault(&fault);
    Ok(format!(
        "{:?} from {:.1} s on\n",
        fault.kind,
        fault.at.0 as f64 / 1e6
    ))
}

fn servers(world: &World) -> String {
    let now = world.now();
    let mut rows = String::new();
    for (number, stand) in world.stands().iter().enumerate() {
        let address = stand
            .address()
            .map_or_else(String::new, |address| address.to_string());
        let sends = stand.sends.load(Ordering::Relaxed);
        let row = stand.with(|server| {
            let spec = &server.spec;
            let state = if server.is_dead() { "dead".into() } else { format!("{:?}", server.condition()) };
            let load = server.report(now).unwrap_or_default();
            format!(
                "<tr><td>{number}<td>{}<td>{address}<td>{}<td>{}<td>{:.2}<td>{:.0} %<td>{sends}<td>{}<td>{:.0} %<td>{state}",
                spec.id,
                world.scenario.fleet.zones[spec.zone],
                world.scenario.machines[spec.machine].get_ref().name,
                spec.speed,
                100.0 * server.slow_start_factor(now),
                load.in_flight,
                100.0 * load.utilisation,
            )
        });
        rows.push_str(&row);
    }
    format!(
        "<!doctype html><meta charset=utf-8><meta http-equiv=refresh content=2><title>stand-ins</title>\
         <style>body{{font:14px sans-serif}}td,th{{padding:2px 8px;text-align:left}}</style>\
         <h1>Stand-ins, {:.0} s</h1>\
         <form method=post action=/fault>kind <input name=kind value=freeze> servers <input name=servers value=0>\
         for <input name=for value=5s> factor <input name=factor> <button>inject</button></form>\
         <table><tr><th>no<th>id<th>address<th>zone<th>machine<th>speed<th>warm<th>sends<th>in flight<th>busy<th>state\
         {rows}</table>",
        now as f64 / 1e6
    )
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(
        "kind=freeze&servers=0%2C1&for=5s",
        Ok("kind = \"freeze\"\nservers = [0,1]\nfor = \"5s\"\nat = \"0s\"\n")
    )]
    #[case("kind=slow&factor=&at=1s", Ok("kind = \"slow\"\nat = \"1s\"\n"))]
    #[case(
        "kind=slow%0Aat&for=1s",
        Ok("kind = \"slow\\nat\"\nfor = \"1s\"\nat = \"0s\"\n")
    )]
    #[case("factor=1%0Azone%3D2", Err("field 'factor' holds a line break"))]
    #[case("length=9", Err("no field 'length'"))]
    fn a_form_becomes_a_fault_and_nothing_else(
        #[case] form: &str,
        #[case] wanted: Result<&str, &str>,
    ) {
        assert_eq!(
            fault_text(form),
            wanted.map(str::to_owned).map_err(str::to_owned)
        );
    }
}
