// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! `basaltctl`: the operator's command line over the resource API.

#![allow(missing_docs, reason = "the command-line macro makes items without doc comments")]

use std::net::SocketAddr;
use std::process;
use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings;
use basaltarch_telemetry::runtime;

use basaltarch_ctl::api::AdminApi;
use basaltarch_ctl::commands::{self, AuditQuery, OutputForm};
use basaltarch_ctl::errors::CommandError;
use basaltarch_ctl::{explain, keys, losses};
use serde_json::json;

mod flags {
    xflags::xflags! {
        /// The operator's command line. Exit status: 0 done, 1 failed, 2 invalid settings or file,
        /// 3 conflict with another change, 4 store unavailable or outcome unknown, 5 some daemons
        /// have an earlier revision.
        cmd basaltctl {
            /// Admin address of a daemon [BASALTARCH_SERVER].
            optional --server address: String
            /// Bearer token of operators [BASALTARCH_ADMIN_TOKEN].
            optional --token token: String
            /// Name recorded in the audit trail [BASALTARCH_ACTOR], default operator.
            optional --actor name: String
            /// Output format: table or json [BASALTARCH_OUTPUT], default table.
            optional -o,--output form: String

            /// Applies a file of resources in one transaction.
            cmd apply {
                /// JSON file: {"KIND": {"NAME": {...}}}.
                required -f,--file path: String
                /// Waits until all live daemons have it in force, up to this many ms.
                optional --wait ms: String
            }
            /// Shows what applying a file would change.
            cmd diff {
                /// JSON file, as for apply.
                required -f,--file path: String
            }
            /// Shows the resources of a kind, or one of them.
            cmd get {
                /// Kind, such as services.
                required kind: String
                /// Name; all resources of the kind when absent.
                optional name: String
            }
            /// Deletes a resource.
            cmd delete {
                /// Kind.
                required kind: String
                /// Name.
                required name: String
                /// Revision that it must have; otherwise it is not deleted.
                optional --at revision: String
            }
            /// Prints accepted changes as they arrive, one JSON line each.
            cmd watch {
                /// Kind; all when absent.
                optional kind: String
                /// Last revision already seen, default 0.
                optional --after revision: String
            }
            /// Shows the audit trail.
            cmd audit {
                /// Only changes of this kind.
                optional --kind kind: String
                /// Only changes of this name.
                optional --name name: String
                /// Only changes by this actor (the flag --actor is the name under which this call
                /// is recorded).
                optional --by name: String
                /// Only changes since this many ms after 1970.
                optional --since-ms ms: String
                /// Only changes until this many ms after 1970.
                optional --until-ms ms: String
            }
            /// Shows which revision each daemon has in force.
            cmd status {}
            /// Shows how callers' requests ended, at each live daemon since its start.
            cmd outcomes {}
            /// Shows the health of upstreams.
            cmd health {
                /// Service; all when absent.
                optional service: String
            }
            /// Sends no new requests to the backend servers of a failure domain.
            cmd evacuate {
                /// Failure domain.
                required domain: String
            }
            /// Sends requests to the backend servers of an evacuated failure domain again.
            cmd restore {
                /// Failure domain.
                required domain: String
            }
            /// Shows the requests that ran at backend servers when they crashed, and which are
            /// refused.
            cmd suspects {}
            /// Admits a request again that is refused as it crashes backend servers.
            cmd lift {
                /// Its fingerprint, as shown by the logs and by the command suspects.
                required fingerprint: String
            }
            /// Shows the path of a request from the logs of many hosts; needs no daemon.
            cmd explain {
                /// Id of the request.
                required request: String
                /// Files with logs, of any number of hosts.
                repeated files: String
            }
            /// Shows where and why callers' requests were lost, from the logs of many hosts; needs
            /// no daemon.
            cmd losses {
                /// Files with logs, of any number of hosts.
                repeated files: String
            }
            /// Generates an API key for an organisation and shows it once; needs no daemon.
            cmd key {}
            /// Drains the daemon at the server address, or a backend server.
            cmd drain {
                /// Backend server; the daemon itself when absent.
                optional server: String
                /// Returns the backend server to service.
                optional --undo
            }
        }
    }
}

const ADDRESS_ALLOWED: &str = "an IP address with port, such as 127.0.0.1:8080";
const NUMBER_ALLOWED: &str = "a whole number";

fn main() {
    let flags = flags::Basaltctl::from_env_or_exit();
    let result = match runtime::run(run(flags)) {
        Ok(result) => result,
        Err(error) => {
            eprintln!("basaltctl: {error}");
            process::exit(1);
        }
    };
    if let Err(error) = result {
        eprintln!("basaltctl: {error}");
        process::exit(error.exit_status());
    }
}

fn parse_number(flag: &str, given: Option<String>) -> Result<Option<u64>, CommandError> {
    match given {
        Some(given) => settings::optional(flag, Some(given), NUMBER_ALLOWED).map_err(setting_error),
        None => Ok(None),
    }
}

fn setting_error(source: SettingError) -> CommandError {
    CommandError::Setting { source }
}

fn parse_output_form(given: Option<String>) -> Result<OutputForm, CommandError> {
    let allowed = "table, json";
    let accept = |form: &String| form == "table" || form == "json";
    let form = settings::checked("output", given, "table".to_owned(), allowed, accept);
    match form.map_err(setting_error)?.as_str() {
        "json" => Ok(OutputForm::Json),
        _ => Ok(OutputForm::Table),
    }
}

/// Prints what the logs contain about a request.
fn print_explanation(flags: &flags::Explain, form: OutputForm) -> Result<(), CommandError> {
    let history = explain::gather(&flags.request, &flags.files)?;
    if history.lines.is_empty() {
        return Err(CommandError::NotFound { request: flags.request.clone() });
    }
    match form {
        OutputForm::Table => explain::print(&flags.request, &history),
        OutputForm::Json => {
            for line in &history.lines {
                println!("{}", json!({"source": line.source, "line": line.fields}));
            }
        }
    }
    Ok(())
}

/// Prints a newly generated key.
fn print_new_key(form: OutputForm) {
    let key = keys::generate();
    match form {
        OutputForm::Table => key.print(),
        OutputForm::Json => println!("{}", key.to_json()),
    }
}

/// Prints where and why requests were lost according to the logs.
fn print_losses(flags: &flags::Losses, form: OutputForm) -> Result<(), CommandError> {
    let tally = losses::count(&flags.files)?;
    match form {
        OutputForm::Table => tally.print(),
        OutputForm::Json => println!("{}", tally.to_json()),
    }
    Ok(())
}

async fn run(flags: flags::Basaltctl) -> Result<(), CommandError> {
    if let flags::BasaltctlCmd::Explain(explain) = &flags.subcommand {
        return print_explanation(explain, parse_output_form(flags.output)?);
    }
    if let flags::BasaltctlCmd::Losses(losses) = &flags.subcommand {
        return print_losses(losses, parse_output_form(flags.output)?);
    }
    if let flags::BasaltctlCmd::Key(_) = &flags.subcommand {
        print_new_key(parse_output_form(flags.output)?);
        return Ok(());
    }
    let address: SocketAddr =
        settings::required("server", flags.server, ADDRESS_ALLOWED).map_err(setting_error)?;
    let token: Option<String> =
        settings::optional("admin-token", flags.token, "a token").map_err(setting_error)?;
    let actor: Option<String> =
        settings::optional("actor", flags.actor, "a name").map_err(setting_error)?;
    let form = parse_output_form(flags.output)?;
    let actor = actor.unwrap_or("operator".to_owned());
    let api = AdminApi::new(address, token.unwrap_or_default(), actor);
    match flags.subcommand {
        flags::BasaltctlCmd::Apply(flags) => {
            let wait = parse_number("wait", flags.wait)?.map(Duration::from_millis);
            commands::apply(&api, &flags.file, wait, form).await
        }
        flags::BasaltctlCmd::Diff(flags) => commands::diff(&api, &flags.file, form).await,
        flags::BasaltctlCmd::Get(flags) => {
            commands::get(&api, &flags.kind, flags.name.as_deref(), form).await
        }
        flags::BasaltctlCmd::Delete(flags) => {
            let at = parse_number("at", flags.at)?;
            commands::delete(&api, &flags.kind, &flags.name, at).await
        }
        flags::BasaltctlCmd::Watch(flags) => {
            let after = parse_number("after", flags.after)?.unwrap_or(0);
            commands::watch(&api, flags.kind.as_deref(), after).await
        }
        flags::BasaltctlCmd::Audit(flags) => {
            let query = AuditQuery {
                kind: flags.kind,
                name: flags.name,
                actor: flags.by,
                since_ms: parse_number("since-ms", flags.since_ms)?,
                until_ms: parse_number("until-ms", flags.until_ms)?,
            };
            commands::audit(&api, &query, form).await
        }
        flags::BasaltctlCmd::Status(_) => commands::status(&api, form).await,
        flags::BasaltctlCmd::Outcomes(_) => commands::outcomes(&api, form).await,
        flags::BasaltctlCmd::Suspects(_) => commands::suspects(&api, form).await,
        flags::BasaltctlCmd::Lift(flags) => commands::lift_refusal(&api, &flags.fingerprint).await,
        flags::BasaltctlCmd::Evacuate(flags) => commands::evacuate(&api, &flags.domain, true).await,
        flags::BasaltctlCmd::Restore(flags) => commands::evacuate(&api, &flags.domain, false).await,
        flags::BasaltctlCmd::Health(flags) => {
            commands::health(&api, flags.service.as_deref(), form).await
        }
        // These commands need no daemon and were handled above.
        flags::BasaltctlCmd::Explain(_)
        | flags::BasaltctlCmd::Losses(_)
        | flags::BasaltctlCmd::Key(_) => Ok(()),
        flags::BasaltctlCmd::Drain(flags) => match flags.server {
            Some(server) => commands::drain_server(&api, &server, flags.undo).await,
            None => commands::drain_daemon(&api).await,
        },
    }
}
