//! The arguments of every command.

use std::{io::Write, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use skylarkwick_process::exit::ExitStatus;

use crate::rows::Failed;

/// Describes the command line.
pub(crate) fn command() -> Command {
    Command::new("skylarkwick")
        .about("Fleet capacity and maintenance manager: the operators' command line")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit status: 0 done, 1 refused (a conflict, a fault in a file), \
             2 wrong arguments or no answer.\n\nExamples:\n  \
             skylarkwick check examples/caroni/*.toml\n  \
             skylarkwick apply --site examples/caroni/site.toml examples/caroni/retail.toml\n  \
             skylarkwick status --site examples/caroni/site.toml",
        )
        .subcommands([
            Command::new("check")
                .about("Check documents and site settings without a running system")
                .arg(files().required(true)),
            with_site(Command::new("apply").about("Put a service's document in force"))
                .arg(file())
                .arg(operator())
                .arg(
                    Arg::new("if-match")
                        .long("if-match")
                        .value_name("CHANGE")
                        .value_parser(value_parser!(u64))
                        .help("Accept only if the service's last change has this number"),
                ),
            with_site(Command::new("show").about("Show a service's document")).arg(service()),
            with_site(Command::new("diff").about("Show which keys a file would change"))
                .arg(file()),
            with_site(Command::new("history").about("List the changes of a service's document"))
                .arg(service()),
            with_site(Command::new("drain").about("Take a host out of its pool and keep it out"))
                .arg(host()),
            with_site(Command::new("undrain").about("Let a drained host be used again"))
                .arg(host()),
            with_site(Command::new("plan").about("Show what each data centre would do, and why")),
            with_site(Command::new("status").about("Show the whole site on one screen")),
            with_site(Command::new("explain").about("Show what was decided last, and why"))
                .arg(Arg::new("name").value_name("HOST|SERVICE").required(true)),
            wave(),
            Command::new("completions")
                .about("Print completions for a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        ])
}

/// Prints the completions for a shell.
pub(crate) fn completions(
    arguments: &ArgMatches,
    output: &mut impl Write,
) -> Result<ExitStatus, Failed> {
    if let Some(shell) = arguments.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "skylarkwick", output);
    }
    Ok(ExitStatus::Success)
}

fn wave() -> Command {
    let name = || Arg::new("wave").value_name("WAVE").required(true).help("Name of the wave");
    Command::new("wave").about("Maintain hosts in waves").subcommand_required(true).subcommands([
        with_site(Command::new("start").about("Start a wave over every host"))
            .arg(name())
            .arg(Arg::new("pool").long("pool").value_name("POOL").help("Only the hosts of a pool")),
        with_site(Command::new("pause").about("Start no further host")).arg(name()),
        with_site(Command::new("resume").about("Go on after a pause")).arg(name()),
        with_site(Command::new("status").about("Show the progress")).arg(name()),
    ])
}

fn with_site(command: Command) -> Command {
    command.arg(
        Arg::new("site")
            .long("site")
            .value_name("FILE")
            .env("SKYLARKWICK_SITE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Settings of the site"),
    )
}

fn files() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .action(ArgAction::Append)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
}

fn file() -> Arg {
    Arg::new("file").value_name("FILE").required(true).value_parser(value_parser!(PathBuf))
}

fn service() -> Arg {
    Arg::new("service").value_name("SERVICE").required(true)
}

fn host() -> Arg {
    Arg::new("host").value_name("HOST").required(true)
}

fn operator() -> Arg {
    Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .env("USER")
        .default_value("unknown")
        .help("Who makes the change, for the history")
}
