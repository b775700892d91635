# Runs one case of the second review. Called by review/N/run.sh with the number of the case.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
number=$1
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$root" || exit 2
program="$root/target/review-2/case-$number"
[ -x "$program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -n "$RUN_COMMAND" ] || { echo "deploy/balancer.toml has no run" >&2; exit 2; }
CASE_FOLDER=$(mktemp -d) || exit 2
RECORD="$root/review/$number/record.txt"
export RUN_COMMAND CASE_FOLDER RECORD
# The program has its own process group, so that all that it started can be ended, whatever happens.
set -m
"$program" &
group=$!
set +m
finish() {
    kill -KILL -- "-$group" 2>/dev/null
    if [ -n "${KEEP:-}" ]; then echo "kept $CASE_FOLDER"; else rm -rf "$CASE_FOLDER"; fi
}
trap finish EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
case $code in
    0 | 1 | 2) exit "$code" ;;
    *) exit 2 ;;
esac
