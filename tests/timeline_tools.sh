#!/usr/bin/env bash
# Runs the timeline commands on records made in virtual time. Checks plots of 12 and of 200 replicas in both image
# formats, tables, a merge of two nodes whose clocks differ, a span, and that each wrong command fails with exactly one
# line of output.
set -eu
program=$1
lab=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
fail() { echo "$1"; exit 1; }
"$lab" hour --thing slow --seconds 120 --at 60 --lasts 20 --out "$dir/small.flight" >/dev/null
"$lab" hour --thing cut-off --replicas 200 --per-second 400 --seconds 60 --at 30 --lasts 15 --out "$dir/large.flight" >/dev/null
"$lab" hour --thing slow --seconds 120 --at 60 --lasts 20 --node n1 --seed 13 --ahead 3 --out "$dir/other.flight" >/dev/null
for size in small large; do
  for format in svg png; do
    "$program" timeline plot --out "$dir/$size.$format" "$dir/$size.flight"
    [ "$(wc -c <"$dir/$size.$format")" -gt 5000 ] || fail "$size.$format: expected more than 5000 bytes of a plot"
  done
done
grep -q 'replica-011' "$dir/small.svg" || fail "small.svg has no row of replica-011"
grep -q 'first-token' "$dir/small.svg" || fail "small.svg does not show the anomaly first-token"
"$program" timeline export --csv "$dir/tables" "$dir/small.flight" >/dev/null
head -1 "$dir/tables/bins.csv" | grep -q '^start_ms,replica,sent' || fail "bins.csv does not begin with start_ms,replica,sent: $(head -1 "$dir/tables/bins.csv")"
"$program" timeline merge "$dir/small.flight" "$dir/other.flight" >"$dir/merged"
grep -q '^n1: clock -3.000 s' "$dir/merged" || fail "expected a clock offset of -3.000 s at n1: $(head -2 "$dir/merged")"
"$program" timeline show --span +60,+80 --replica replica-001 "$dir/small.flight" | grep -q 'ready' || fail "show --span +60,+80 does not show the state ready"
"$program" timeline why call-1000 "$dir/small.flight" | grep -q 'most spare capacity' || fail "why call-1000 does not show the reason of the dispatch"
for wrong in "plot --out x.gif $dir/small.flight" "show --span soon $dir/small.flight" "show --replica nobody $dir/small.flight" \
  "why call-0 $dir/small.flight" "show $dir/none.flight" "export $dir/small.flight"; do
  # shellcheck disable=SC2086
  if output=$("$program" timeline $wrong 2>&1); then fail "the wrong command did not fail: $wrong"; fi
  [ "$(printf '%s\n' "$output" | wc -l)" -eq 1 ] || fail "expected one line of output for the wrong command $wrong: $output"
done
