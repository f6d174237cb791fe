# Sourced by the run.sh of a case: runs its program from the repository's root, 120 s at most, with a temporary
# folder of its own. Exits with 0, 1 or 2 as the case says, and with 2 if it could not run or was ended from outside.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.."
[ -x build/ryeglade ] && [ -x "review/bin/trial-$number" ] || { echo "build it first: review/build-2.sh" >&2; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 3 115 "review/bin/trial-$number" "$folder/record.txt" &
trial=$!
trap 'kill "$trial"; wait "$trial"; rm -rf "$TMPDIR"; exit 2' HUP INT TERM
status=0
wait "$trial" || status=$?
rm -rf "$TMPDIR"
case $status in 0 | 1 | 2) exit "$status" ;; *) exit 2 ;; esac
