// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! `basaltarch-standin`: simulators of the platform and of a backend server, for tests and the
//! demo.

#![allow(missing_docs, reason = "the command-line macro makes items without doc comments")]

use std::io;
use std::net::SocketAddr;
use std::process;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings::{self, EXIT_BAD_SETTINGS};
use basaltarch_http::client::HttpClient;
use basaltarch_http::connection;
use basaltarch_http::fields::ExchangeFields;
use basaltarch_platform::headers;
use basaltarch_standin::backend::{self, BackendOptions, BackendStandin, HeldPort};
use basaltarch_standin::platform::{self, HostGroup, PlatformStandin};
use basaltarch_telemetry::{logs, runtime};
use bytes::Bytes;
use http::{HeaderMap, Method};
use monoio::net::TcpListener;

mod flags {
    xflags::xflags! {
        /// Simulates the platform or a backend server, for tests and the demo only.
        cmd basaltarch-standin {
            /// Runs a simulated platform: rows, their change feed, and objects.
            cmd platform {
                /// Address to listen on (BASALTARCH_LISTEN, default 127.0.0.1:0).
                optional --listen address: String
                /// Address for hosts that outages can be limited to (BASALTARCH_LISTEN_SECOND).
                optional --listen-second address: String
            }
            /// Runs a simulated backend server.
            cmd backend {
                /// Address to listen on (BASALTARCH_LISTEN, default 127.0.0.1:0).
                optional --listen address: String
                /// Value of the x-served-by header field (BASALTARCH_NAME, default backend).
                optional --name name: String
                /// Median service time in ms (BASALTARCH_SERVICE_MS, default 0).
                optional --service-ms ms: String
                /// Spread (log-normal) of the service time (BASALTARCH_SPREAD, default 0.3).
                optional --spread spread: String
                /// Connections served at once (BASALTARCH_CONNECTIONS, default 400).
                optional --connections count: String
                /// Requests that run at once (BASALTARCH_SLOTS, default no limit).
                optional --slots count: String
                /// Requests that wait for a slot (BASALTARCH_QUEUE, default 0).
                optional --queue count: String
                /// Seed of the random numbers (BASALTARCH_SEED, default 1).
                optional --seed seed: String
                /// Uses the names of header fields of the prepared platform.
                optional --prepared
            }
            /// Sends one request to a control endpoint and prints the response.
            cmd tell {
                /// Address of the simulated platform or backend server.
                required address: String
                /// Method: GET, PUT or DELETE.
                required method: String
                /// Path, such as /control/faults.
                required path: String
                /// Request body, as JSON.
                optional body: String
            }
        }
    }
}

const ADDRESS_ALLOWED: &str = "an address such as 127.0.0.1:8080";
/// Exit status if a control request failed, or if the runtime or listener could not be started.
const EXIT_FAILED: i32 = 1;
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn main() {
    let flags = flags::BasaltarchStandin::from_env_or_exit();
    let _logs = logs::start("info");
    let result = match flags.subcommand {
        flags::BasaltarchStandinCmd::Platform(flags) => run_platform(flags),
        flags::BasaltarchStandinCmd::Backend(flags) => run_backend(flags),
        flags::BasaltarchStandinCmd::Tell(flags) => send_control_request(flags),
    };
    if let Err(error) = result {
        eprintln!("basaltarch-standin: {error}");
        process::exit(EXIT_BAD_SETTINGS);
    }
}

fn listen_address(given: Option<String>) -> Result<SocketAddr, SettingError> {
    let default = SocketAddr::from(([127, 0, 0, 1], 0));
    settings::checked("listen", given, default, ADDRESS_ALLOWED, |_| true)
}

fn listen(address: SocketAddr) -> TcpListener {
    let bound = connection::bind(address);
    match bound.and_then(|listener| Ok((listener.local_addr()?, listener))) {
        Ok((address, listener)) => {
            tracing::info!(%address, "listening");
            listener
        }
        Err(error) => exit_unbound(address, &error),
    }
}

fn exit_unbound(address: SocketAddr, error: &io::Error) -> ! {
    eprintln!("basaltarch-standin: can't listen on {address}: {error}");
    process::exit(EXIT_FAILED);
}

fn exit_on_error<T>(result: Result<T, basaltarch_telemetry::errors::StartError>) {
    if let Err(error) = result {
        eprintln!("basaltarch-standin: {error}");
        process::exit(EXIT_FAILED);
    }
}

fn run_platform(flags: flags::Platform) -> Result<(), SettingError> {
    let address = listen_address(flags.listen)?;
    let second_address = settings::optional("listen-second", flags.listen_second, ADDRESS_ALLOWED)?;
    exit_on_error(runtime::run(async move {
        let standin = Rc::new(PlatformStandin::default());
        if let Some(second_address) = second_address {
            let serving =
                platform::serve(listen(second_address), standin.clone(), HostGroup::Second);
            monoio::spawn(serving);
        }
        platform::serve(listen(address), standin, HostGroup::First).await;
    }));
    Ok(())
}

fn run_backend(flags: flags::Backend) -> Result<(), SettingError> {
    let address = listen_address(flags.listen)?;
    let accept_any = |_: &u64| true;
    let service_ms =
        settings::checked("service-ms", flags.service_ms, 0, "milliseconds", accept_any)?;
    let options = BackendOptions {
        name: settings::optional("name", flags.name, "a name")?.unwrap_or("backend".to_owned()),
        service_time: Duration::from_millis(service_ms),
        spread: settings::checked("spread", flags.spread, 0.3, "0 to 3", |spread| {
            (0.0..=3.0).contains(spread)
        })?,
        seed: settings::checked("seed", flags.seed, 1, "a number", accept_any)?,
        slots: settings::optional("slots", flags.slots, "a number of requests")?,
        queue: settings::checked("queue", flags.queue, 0, "a number of requests", |_| true)?,
        fields: match flags.prepared {
            true => headers::exchange_fields(),
            false => ExchangeFields::default(),
        },
    };
    let connections =
        settings::checked("connections", flags.connections, 400, "1 to 65536", |count| {
            (1..=65_536).contains(count)
        })?;
    exit_on_error(runtime::run(async move {
        let port = HeldPort::try_new(address).unwrap_or_else(|error| exit_unbound(address, &error));
        let listener = listen(port.address());
        backend::serve(port, listener, BackendStandin::new(options), connections).await;
    }));
    Ok(())
}

fn send_control_request(flags: flags::Tell) -> Result<(), SettingError> {
    let address: SocketAddr = settings::required("address", Some(flags.address), ADDRESS_ALLOWED)?;
    let method: Method = settings::required("method", Some(flags.method), "GET, PUT, DELETE")?;
    let body = Bytes::from(flags.body.unwrap_or_default());
    let path = flags.path;
    let call = async move {
        let client = HttpClient::new(address, CONTROL_CALL_TIMEOUT);
        client.call(method, &path, HeaderMap::new(), body).await
    };
    match runtime::run(call) {
        Ok(Ok(reply)) => {
            println!("{}", String::from_utf8_lossy(&reply.body));
            if !reply.status.is_success() {
                process::exit(EXIT_FAILED);
            }
        }
        Ok(Err(error)) => {
            eprintln!("basaltarch-standin: {error}");
            process::exit(EXIT_FAILED);
        }
        Err(error) => exit_on_error::<()>(Err(error)),
    }
    Ok(())
}
