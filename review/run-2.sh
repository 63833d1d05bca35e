#!/usr/bin/env bash
# Runs a case: its name and its folder are the arguments. Ends every process that it started.
set -u
cd "$(dirname "$0")/.."
for program in target/review_2 target/release/buckthorn_platform; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
clean() {
    while read -r process; do
        if [ "$(cat "/proc/$process/comm" 2>/dev/null)" = buckthorn_platf ]; then
            kill -KILL "$process" 2>/dev/null
        fi
    done <"$REVIEW_PROCESSES"
    rm -f "$REVIEW_PROCESSES"
}
trap clean EXIT
trap 'exit 2' INT TERM
target/review_2 "$1" "$2/record.txt" &
child=$!
trap 'kill -KILL $child 2>/dev/null; exit 2' INT TERM
wait "$child"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
