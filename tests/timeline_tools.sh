#!/usr/bin/env bash
# The timeline commands on records made in virtual time: plots of 12 and of 200 replicas in both image formats, tables,
# a merge of two nodes whose clocks differ, a span, and exactly one line of error for each wrong command.
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
  for form in svg png; do
    "$program" timeline plot --out "$dir/$size.$form" "$dir/$size.flight"
    [ "$(wc -c <"$dir/$size.$form")" -gt 5000 ] || fail "$size.$form is too small for a plot"
  done
done
grep -q 'replica-011' "$dir/small.svg" || fail "no row of replica-011"
grep -q 'first-token' "$dir/small.svg" || fail "the anomaly is not in the plot"
"$program" timeline export --csv "$dir/tables" "$dir/small.flight" >/dev/null
head -1 "$dir/tables/bins.csv" | grep -q '^start_ms,replica,sent' || fail "wrong columns in bins.csv"
"$program" timeline merge "$dir/small.flight" "$dir/other.flight" >"$dir/merged"
grep -q '^n1: clock -3.000 s' "$dir/merged" || fail "wrong clock offset: $(head -2 "$dir/merged")"
"$program" timeline show --span +60,+80 --replica replica-001 "$dir/small.flight" | grep -q 'ready' || fail "no span"
"$program" timeline why call-1000 "$dir/small.flight" | grep -q 'most spare capacity' || fail "no reason"
for wrong in "plot --out x.gif $dir/small.flight" "show --span soon $dir/small.flight" "show --replica nobody $dir/small.flight" \
  "why call-0 $dir/small.flight" "show $dir/none.flight" "export $dir/small.flight"; do
  # shellcheck disable=SC2086
  if output=$("$program" timeline $wrong 2>&1); then fail "accepted: $wrong"; fi
  [ "$(printf '%s\n' "$output" | wc -l)" -eq 1 ] || fail "not one line for: $wrong: $output"
done
