# Sourced by the run.sh of a case: runs its program from the repository's root, 120 s at most.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.."
[ -x build/ryeglade ] && [ -x "review/bin/trial-$number" ] || { echo "build it first: review/build-2.sh" >&2; exit 2; }
status=0
timeout -k 5 115 "review/bin/trial-$number" "$folder/record.txt" || status=$?
case $status in 0 | 1 | 2) exit "$status" ;; *) exit 2 ;; esac
