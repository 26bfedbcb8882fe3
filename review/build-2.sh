#!/bin/sh
# Builds the stand-ins and checks of the cases 4 and on, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml
