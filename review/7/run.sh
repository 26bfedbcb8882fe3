#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruptions; cut or restart lets only that one come.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
case=review/standins-3/target/release/review-case
[ -x "$case" ] || { echo "run review/build-3.sh first"; exit 2; }
"$case" twice-reborn "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
