#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start; needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --locked --offline --target-dir target
