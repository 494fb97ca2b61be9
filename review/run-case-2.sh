#!/usr/bin/env bash
# Runs one case of the second review: `run-case-2.sh NUMBER PROGRAM`. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run. The program ends what it started; where it is ended itself, this script does.
set -u
cd "$(dirname "$0")/.."

record=review/$1/record.txt
program=target/review-2/release/$2
if [ ! -x "$program" ] || [ ! -x target/release/oakwind ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build-2.sh" >&2
    exit 2
fi

child=
end_all() {
    local pids
    pids=$(sed -n 's/^.* node .* started pid=\([0-9]*\)$/\1/p' "$record")
    for pid in $child $pids; do
        kill -KILL "$pid" 2>/dev/null
    done
    exit 2
}
trap end_all HUP INT TERM

"$program" "$record" &
child=$!
wait "$child"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
