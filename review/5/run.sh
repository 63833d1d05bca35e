#!/bin/sh
# Runs the case `cold` of review/stand_in with processes of the project. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/stand_in target/release/buckthorn_platform; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review/stand_in cold review/5/record.txt
