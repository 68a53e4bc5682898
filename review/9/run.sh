#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the program reads it from its environment.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
program=review/stand-in-2/target/release/review-case-2
[ -x "$program" ] || exit 2
exec "$program" late-write review/9/record.txt
