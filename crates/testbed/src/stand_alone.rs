//! Stand-ins without load: servers and discovery for a balancer that is started by hand, and a page
//! that shows the servers and can inject faults.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pinefront_model::scenario::Scenario;
use pinefront_model::server::Server;
use pinefront_model::{Micros, SECOND, validation};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::environment::stand_in_runtime;
use crate::error::{Context, Error};
use crate::runner::{follow_timeline, start_servers};
use crate::world::{ServerHost, World};
use crate::{balancers, discovery_stand_in, http};

/// Interval between checks of `stop`, and delay after a failure to accept a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Header lines of the page.
const HTML_HEADERS: &str = "Content-Type: text/html; charset=utf-8\r\nConnection: close\r\n";
/// Header lines of all other responses.
const TEXT_HEADERS: &str = "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n";

/// Addresses of the page and the balancer, and the file for the balancer's configuration.
pub struct Addresses<'a> {
    /// The address at which the page is served.
    pub page: SocketAddr,
    /// The address at which the balancer that is started by hand will listen.
    pub balancer: SocketAddr,
    /// The file to which the balancer's configuration is written.
    pub config_file: &'a Path,
}

/// Runs the stand-ins until `stop` is set.
pub fn run(scenario: &Scenario, addresses: &Addresses, stop: &AtomicBool) -> Result<(), Error> {
    let runtime = stand_in_runtime().context("cannot start threads")?;
    let world = Arc::new(World::new(scenario.clone(), scenario.seed));
    let result = runtime.block_on(serve(&world, addresses, stop));
    runtime.shutdown_background();
    result
}

async fn serve(
    world: &Arc<World>,
    addresses: &Addresses<'_>,
    stop: &AtomicBool,
) -> Result<(), Error> {
    start_servers(world).await?;
    let discovery = discovery_stand_in::start(world, 0)
        .await
        .context("cannot start the discovery stand-in")?;
    let page = addresses.page;
    let listener = TcpListener::bind(page)
        .await
        .context(format!("cannot listen on {page} to serve the page"))?;
    let page = listener.local_addr()?;
    let config_file = addresses.config_file;
    let config = json!({
        "name": "b0",
        "listen": addresses.balancer.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", world.seed),
        "settings": balancers::settings(&world.scenario, 0),
    });
    std::fs::write(config_file, format!("{config:#}\n")).context(format!(
        "cannot write configuration {}",
        config_file.display()
    ))?;
    world.clock.start();
    // Nothing receives the events of balancers: their faults have no effect in this mode.
    let (balancer_events, _) = mpsc::unbounded_channel();
    tokio::spawn(follow_timeline(Arc::clone(world), balancer_events));
    tokio::spawn(accept_page_requests(Arc::clone(world), listener));
    let servers = world.servers().len();
    println!("{servers} stand-in servers are running; discovery listens on {discovery}");
    println!(
        "  start a balancer:    pinefront serve --config {}",
        config_file.display()
    );
    println!("  show the servers:    http://{page}/");
    println!("  inject a fault:      curl -d 'kind=freeze&servers=0,1&for=5s' http://{page}/fault");
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn accept_page_requests(world: Arc<World>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => _ = tokio::spawn(handle_page_request(Arc::clone(&world), stream)),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn handle_page_request(world: Arc<World>, mut stream: TcpStream) {
    let mut buffer = Vec::new();
    let Some(request) = http::read_request(&mut stream, &mut buffer).await else {
        return;
    };
    let form = String::from_utf8_lossy(&buffer[request.body_start..request.end]);
    let (status, headers, body) = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/") => ("200 OK", HTML_HEADERS, render_page(&world)),
        ("POST", "/fault") => match inject_fault(&world, &form) {
            Ok(text) => ("200 OK", TEXT_HEADERS, text),
            Err(error) => ("400 Bad Request", TEXT_HEADERS, format!("{error}\n")),
        },
        _ => (
            "404 Not Found",
            TEXT_HEADERS,
            "unknown method or path: expected GET / or POST /fault\n".to_owned(),
        ),
    };
    // The client may have disconnected.
    let _ = http::write_response(&mut stream, status, headers, &body).await;
}

/// Decodes the percent escapes of a form's field. Invalid UTF-8 is replaced by U+FFFD.
fn decode_form_field(text: &str) -> String {
    let bytes = text.replace('+', " ").into_bytes();
    let (mut decoded, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let digits = (bytes[index] == b'%')
            .then(|| bytes.get(index + 1..index + 3))
            .flatten();
        let escaped = digits
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(escaped.unwrap_or(bytes[index]));
        index += if escaped.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Converts a form to the TOML of a fault, which starts immediately unless the form has `at`.
fn fault_toml(form: &str) -> Result<String, Error> {
    let mut toml = String::new();
    let mut has_start = false;
    let fields = form.trim().split('&');
    for (name, value) in fields.filter_map(|field| field.split_once('=')) {
        let (name, value) = (decode_form_field(name), decode_form_field(value));
        let value = value.trim();
        if value.is_empty() {
            continue;
        }
        has_start |= name == "at";
        // Only known names are accepted, so that a form can't add other fields to the TOML.
        let toml_value = match name.as_str() {
            "servers" => format!("[{value}]"),
            "part" | "factor" => value.to_owned(),
            "kind" | "at" | "for" | "zone" | "machine" | "by" | "over" => format!("{value:?}"),
            _ => {
                return Err(Error::new(format!(
                    "unknown field '{name}': expected kind, at, for, over, servers, zone, \
                     machine, part, factor or by"
                )));
            }
        };
        if toml_value.contains('\n') {
            return Err(Error::new(format!(
                "field '{name}': expected a value without line breaks"
            )));
        }
        // Writing to a string cannot fail.
        let _ = writeln!(toml, "{name} = {toml_value}");
    }
    if !has_start {
        toml.push_str("at = \"0s\"\n");
    }
    Ok(toml)
}

/// Schedules the fault that a form describes. Returns a confirmation.
fn inject_fault(world: &World, form: &str) -> Result<String, Error> {
    let toml = fault_toml(form)?;
    let fault = validation::decode_fault(&world.scenario, &toml, world.now())
        .map_err(|error| Error::new(error.to_string()))?;
    world.add_fault(&fault);
    let seconds = fault.at.0 as f64 / SECOND as f64;
    Ok(format!(
        "{:?} starts {seconds:.1} s after the start of the stand-ins\n",
        fault.kind
    ))
}

fn render_page(world: &World) -> String {
    let now = world.now();
    let hosts = world.servers();
    let rows: String = hosts
        .iter()
        .map(|host| server_row(world, host, now))
        .collect();
    format!(
        "<!doctype html><meta charset=utf-8><meta http-equiv=refresh content=2>\
         <title>stand-ins</title>\
         <style>body{{font:14px sans-serif}}td,th{{padding:2px 8px;text-align:left}}</style>\
         <h1>Stand-ins, running for {:.0} s</h1>\
         <form method=post action=/fault>kind <input name=kind value=freeze> \
         servers <input name=servers value=0> \
         for <input name=for value=5s> factor <input name=factor> \
         <button>inject fault</button></form>\
         <table><tr><th>number<th>id<th>address<th>zone<th>machine<th>speed\
         <th>slow start factor<th>attempts<th>in flight<th>utilisation<th>state\
         {rows}</table>",
        now as f64 / SECOND as f64
    )
}

fn server_row(world: &World, host: &ServerHost, now: Micros) -> String {
    let address = host.address();
    let address = address.map_or_else(String::new, |address| address.to_string());
    let attempts = host.attempts.load(Ordering::Relaxed);
    host.with_server(|server| {
        let spec = &server.spec;
        let load = server.load_report(now).unwrap_or_default();
        format!(
            "<tr><td>{}<td>{}<td>{address}<td>{}<td>{}<td>{:.2}<td>{:.0} %<td>{attempts}<td>{}\
             <td>{:.0} %<td>{}",
            spec.number,
            spec.id,
            world.scenario.fleet.zones[spec.zone],
            world.scenario.machines[spec.machine].get_ref().name,
            spec.speed,
            100.0 * server.slow_start_factor(now),
            load.in_flight,
            100.0 * load.utilisation,
            state_text(server),
        )
    })
}

fn state_text(server: &Server) -> String {
    if server.is_stopped() {
        "stopped".to_owned()
    } else {
        format!("{:?}", server.condition())
    }
}

#[cfg(test)]
mod tests;
