#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves out the disruptions; TROUBLE=reclaim and TROUBLE=reset leave in one of them.
cd "$(dirname "$0")/../.." || exit 2
exec review/stand-ins/target/release/link-reset "$PWD" "$PWD/review/1/record.txt"
