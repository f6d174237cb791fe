#!/usr/bin/env bash
# Tests `ryeglade-lab demo`: it prints one line when it is ready, answers a plain HTTP client, and ends on Ctrl-C.
set -eu
lab=$1
out=$(mktemp)
trap 'rm -f "$out"' EXIT
"$lab" demo --port 0 --key open-sesame >"$out" &
pid=$!
for _ in $(seq 300); do grep -q '^ready ' "$out" && break; sleep 0.1; done
url=$(sed -n 's/^ready base_url=\(http[^ ]*\) key=open-sesame$/\1/p' "$out")
[ -n "$url" ] || { echo "expected a line 'ready base_url=URL key=open-sesame' within 30 s, got: $(cat "$out")"; kill "$pid"; exit 1; }
body='{"model":"docs-model","messages":[{"role":"user","content":"hello"}],"max_tokens":5}'
response=$(curl -sS --max-time 20 -H 'Authorization: Bearer open-sesame' -d "$body" "$url/chat/completions")
case $response in *'"finish_reason":"stop"'*) ;; *) echo "expected a response with finish_reason stop, got: $response"; kill "$pid"; exit 1 ;; esac
kill -INT "$pid"
wait "$pid"
