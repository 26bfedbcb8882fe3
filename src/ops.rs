//! What the subcommands do.
