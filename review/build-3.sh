#!/bin/sh
# Builds the stand-ins of the third review, without a network.
set -eu
cd "$(dirname "$0")/standins-3"
exec cargo build --release --locked --offline
