//! `pollentally completion`: prints shell completion scripts.

use bpaf::{
    construct,
    positional,
    OptionParser,
    Parser, //
};

use crate::cli_error::{
    CliError,
    EXIT_CODES_HELP, //
};

const HELP: &str = "Print the completion script for a shell";

/// Parsed arguments of `completion`.
#[derive(Clone, Debug)]
pub(crate) struct CompletionArgs {
    shell: String,
}

/// Builds the argument parser of `completion`.
pub(crate) fn parser() -> OptionParser<CompletionArgs> {
    let shell = positional("SHELL").help("bash, zsh, fish or elvish");
    construct!(CompletionArgs { shell })
        .to_options()
        .descr(HELP)
        .footer(EXIT_CODES_HELP)
}

/// Returns the hidden flag that makes `bpaf` print the script.
pub(crate) fn run(args: &CompletionArgs) -> Result<String, CliError> {
    match args.shell.as_str() {
        "bash" | "zsh" | "fish" | "elvish" => Ok(format!("--bpaf-complete-style-{}", args.shell)),
        other => Err(CliError::BadArgument {
            option: "SHELL",
            value: other.into(),
            expected: "bash, zsh, fish or elvish",
        }),
    }
}
