#!/usr/bin/env bash
# The soak must detect a fault that LIBRARY injects into the node, within the first ten seeds and by a rule that the
# fault breaks.
# `soak_finds.sh LAB NODE LIBRARY FAULT RULES`: the soak must report one of RULES (joined by |).
set -euo pipefail

lab=$1 node=$2 library=$3 fault=$4 rules=$5
export RYEGLADE_PLANTED=$fault
for seeds in 1-2 3-4 5-6 7-8 9-10; do
  out=$("$lab" --program "$node" soak --seeds "$seeds" --seconds 8 --jobs 2 --preload "$library" 2>&1) || true
  echo "$out"
  grep -q "2 seeds, .* 0 not played" <<< "$out" || { echo "seeds $seeds: expected 2 finished plays; see the output above"; exit 1; }
  if grep -Eq "\|.* ($rules)=" <<< "$out"; then echo "fault $fault detected with seeds $seeds"; exit 0; fi
done
echo "fault $fault: no play of seeds 1-10 broke one of the rules $rules"
exit 1
