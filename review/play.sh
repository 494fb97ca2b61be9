# Plays the case whose number is the name of the folder that calls this; sourced by its run.sh.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN
export TROUBLE=${TROUBLE:-1}
if [ ! -x target/review/standin ] || [ -z "$RUN" ] || [ ! -x target/release/oakwind ]; then
    echo "the case couldn't run: build with the deploy file and review/build.sh first" >&2
    exit 2
fi
# A short path, as the node's socket for upgrades lies in it.
folder=$(env -u TMPDIR mktemp -d 2>/dev/null || mktemp -d) || exit 2
mkdir "$folder/tmp"
player=
end_all() {
    if [ -n "$player" ] && kill -TERM "$player" 2>/dev/null; then wait "$player"; fi
    # Processes that the stand-ins started and did not end, because they were ended themselves.
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$(pwd -P)/target/release/oakwind" ]; then kill -KILL "$pid"; fi
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM
timeout -k 2 110 target/review/standin "$(basename "$case_folder")" "$folder" "$case_folder/record.txt" &
player=$!
wait "$player"
status=$?
player=
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
