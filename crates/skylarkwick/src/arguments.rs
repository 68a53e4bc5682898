//! Definitions of all commands and their arguments.

use std::{io::Write, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use skylarkwick_process::exit::ExitStatus;

use crate::common::Error;

/// Returns the definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("skylarkwick")
        .about("Fleet capacity and maintenance manager: the operators' command line")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit status: 0 done; 1 refused (a conflict, an invalid file), or the documents differ \
             (diff); 2 invalid arguments or site settings, or the platform did not answer.\n\n\
             Examples:\n  \
             skylarkwick check examples/caroni/*.toml\n  \
             skylarkwick apply --site examples/caroni/site.toml examples/caroni/retail.toml\n  \
             skylarkwick status --site examples/caroni/site.toml",
        )
        .subcommands([
            Command::new("check")
                .about("Check documents and settings without a running system")
                .arg(files_argument().required(true)),
            with_site(Command::new("apply").about("Put a service's document in force"))
                .arg(file_argument())
                .arg(operator_argument())
                .arg(
                    Arg::new("if-match")
                        .long("if-match")
                        .value_name("CHANGE")
                        .value_parser(value_parser!(u64))
                        .help("Apply only if this is the number of the last change (0: none)"),
                ),
            with_site(Command::new("show").about("Show a service's document"))
                .arg(service_argument()),
            with_site(Command::new("diff").about("Show which keys a file would change"))
                .arg(file_argument()),
            with_site(Command::new("history").about("List the changes of a service's document"))
                .arg(service_argument()),
            with_site(Command::new("drain").about("Take a host out of its pool and keep it out"))
                .arg(host_argument()),
            with_site(Command::new("undrain").about("Make a drained host available again"))
                .arg(host_argument()),
            with_site(
                Command::new("plan").about("Show the next steps of each data centre, and why"),
            ),
            with_site(
                Command::new("status").about("Show the services, hosts, waves and shard leases"),
            ),
            with_site(
                Command::new("explain")
                    .about("Show the last decision on a host or service, and why"),
            )
            .arg(Arg::new("name").value_name("HOST|SERVICE").required(true)),
            wave_command(),
            Command::new("completions")
                .about("Print the completion script for a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        ])
}

/// Prints the completion script for the shell that the arguments name.
pub(crate) fn print_completions(
    arguments: &ArgMatches,
    output: &mut impl Write,
) -> Result<ExitStatus, Error> {
    if let Some(shell) = arguments.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "skylarkwick", output);
    }
    Ok(ExitStatus::Success)
}

/// Returns the definition of `wave` and its subcommands.
fn wave_command() -> Command {
    let name = || Arg::new("wave").value_name("WAVE").required(true).help("Name of the wave");
    Command::new("wave").about("Maintain hosts in waves").subcommand_required(true).subcommands([
        with_site(
            Command::new("start").about("Start a wave over all hosts, or over those of a pool"),
        )
        .arg(name())
        .arg(
            Arg::new("pool")
                .long("pool")
                .value_name("POOL")
                .help("Maintain only the hosts of this pool"),
        ),
        with_site(Command::new("pause").about("Pause a wave; no further host is started"))
            .arg(name()),
        with_site(Command::new("resume").about("Resume a paused wave")).arg(name()),
        with_site(Command::new("status").about("Show the progress of a wave")).arg(name()),
    ])
}

/// Adds the required argument `--site`, the path of the site settings, to a command.
fn with_site(command: Command) -> Command {
    command.arg(
        Arg::new("site")
            .long("site")
            .value_name("FILE")
            .env("SKYLARKWICK_SITE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Settings file of the site"),
    )
}

/// Returns the argument for one or more paths of files.
fn files_argument() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
}

/// Returns the required argument for the path of a document.
fn file_argument() -> Arg {
    Arg::new("file").value_name("FILE").required(true).value_parser(value_parser!(PathBuf))
}

/// Returns the required argument for the name of a service.
fn service_argument() -> Arg {
    Arg::new("service").value_name("SERVICE").required(true)
}

/// Returns the required argument for the name of a host.
fn host_argument() -> Arg {
    Arg::new("host").value_name("HOST").required(true)
}

/// Returns the argument for the name that the history records as the author of a
/// change; its default is the user's login name.
fn operator_argument() -> Arg {
    Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .env("USER")
        .default_value("unknown")
        .help("Name to record in the history as the author of the change")
}
