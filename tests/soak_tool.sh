#!/usr/bin/env bash
# With a wrong option the soak fails with a one-line error that names the wrong value or key. An interrupted soak fails
# and leaves no process running.
# `soak_tool.sh LAB`
set -euo pipefail

lab=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# `refused TEXT OPTIONS...`: the soak must fail with these options, with a short error that contains TEXT.
refused() {
  local named=$1 out
  shift
  if out=$("$lab" soak "$@" 2>&1); then echo "accepted: $*"; exit 1; fi
  [ "$(grep -c . <<< "$out")" -le 2 ] || { echo "the error is longer than one line for $*: $out"; exit 1; }
  grep -q -- "$named" <<< "$out" || { echo "the error does not name '$named' for $*: $out"; exit 1; }
}

refused "abc" --seeds abc
refused "lowest first" --seeds 9-3
refused "seconds" --seconds 1
refused "'nothing'" --without nothing
refused "cannot read" --plan "$dir/none.json"
"$lab" soak --seeds 5 --seconds 10 --write-plan "$dir/plan.json"
sed 's/"nodes": [0-9]*/"nodes": 99/' "$dir/plan.json" > "$dir/bad.json"
refused "nodes" --plan "$dir/bad.json"

# The soak keeps its nodes' files under TMPDIR, and the nodes' command lines name them: the test finds the nodes in /proc
# by that path.
mkdir "$dir/tmp"
TMPDIR=$dir/tmp "$lab" soak --seeds 1-2 --jobs 2 --seconds 20 > "$dir/out" 2>&1 &
soak=$!
for _ in $(seq 100); do
  if grep -lzq "$dir/tmp" /proc/[0-9]*/cmdline 2> /dev/null; then break; fi
  sleep 0.1
done
sleep 1
kill -INT "$soak"
if wait "$soak"; then echo "the soak exited with 0 after SIGINT, expected a failure"; exit 1; fi
for _ in $(seq 100); do
  left=$(grep -lz "$dir/tmp" /proc/[0-9]*/cmdline 2> /dev/null || true)
  [ -n "$left" ] || break
  sleep 0.1
done
[ -z "$left" ] || { echo "processes still running 10 s after the soak exited: $left"; exit 1; }
echo ok
