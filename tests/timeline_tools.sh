#!/usr/bin/env bash
# What operators type after a bad hour, on a record made in virtual time: pictures of 12 and of 200 replicas in both
# forms, tables, a merge of two nodes whose clocks differ, a span, and one clear line for each slip.
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
    [ "$(wc -c <"$dir/$size.$form")" -gt 5000 ] || fail "$size.$form is hardly a picture"
  done
done
grep -q 'replica-011' "$dir/small.svg" || fail "no lane of replica-011"
grep -q 'first-token' "$dir/small.svg" || fail "what was unusual is not in the picture"
"$program" timeline export --csv "$dir/tables" "$dir/small.flight" >/dev/null
head -1 "$dir/tables/bins.csv" | grep -q '^start_ms,replica,sent' || fail "no columns in bins.csv"
"$program" timeline merge "$dir/small.flight" "$dir/other.flight" >"$dir/merged"
grep -q '^n1: clock -3.000 s' "$dir/merged" || fail "the clocks were not told apart: $(head -2 "$dir/merged")"
"$program" timeline show --span +60,+80 --replica replica-001 "$dir/small.flight" | grep -q 'ready' || fail "no span"
"$program" timeline why call-1000 "$dir/small.flight" | grep -q 'most spare capacity' || fail "no reason"
for slip in "plot --out x.gif $dir/small.flight" "show --span soon $dir/small.flight" "show --replica nobody $dir/small.flight" \
  "why call-0 $dir/small.flight" "show $dir/none.flight" "export $dir/small.flight"; do
  # shellcheck disable=SC2086
  if said=$("$program" timeline $slip 2>&1); then fail "taken: $slip"; fi
  [ "$(printf '%s\n' "$said" | wc -l)" -eq 1 ] || fail "not one line for: $slip: $said"
done
