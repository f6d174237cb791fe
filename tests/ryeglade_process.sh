#!/usr/bin/env bash
# The command line as a process: every error is one line on standard error and a non-zero exit code.
set -u
bin=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
unset EDGE_CONFIG EDGE_NAME EDGE_LISTEN EDGE_DISCOVERY
fails=0
check() { # name, expected exit code, expected text, arguments
  local name=$1 expected=$2 text=$3 out code
  shift 3
  out=$("$bin" "$@" 2>&1)
  code=$?
  if [ "$code" -ne "$expected" ] || [[ "$out" != *"$text"* ]] || { [ "$expected" -ne 0 ] && [ "$(grep -c '' <<<"$out")" -ne 1 ]; }; then
    echo "FAIL $name: exit code $code, output '$out'"
    fails=$((fails + 1))
  else
    echo "ok $name"
  fi
}
good='{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","settings":{"classes":[{"name":"docs"}]}}'
echo "$good" >"$dir/good"
echo "${good/127.0.0.1:0/nowhere}" >"$dir/listen"
echo "${good/127.0.0.1:0/192.0.2.1:80}" >"$dir/bind"
echo "${good/docs\"/docs\",\"promise\":\"soon\"}" >"$dir/number"
echo "${good/\"settings\"/\"options\"}" >"$dir/settings"
echo "{" >"$dir/json"
check "version" 0 "ryeglade " version
check "help" 0 "usage:" --help
check "check-config" 0 "ok: 1 classes" check-config --config "$dir/good"
deploy=$(cd "$(dirname "$0")/../deploy" && pwd)
sed 's/docs/agent/' "$dir/good" >"$dir/agent"
echo "${good/\[\{\"name\":\"docs\"\}\]/[{\"name\":\"docs\"\},{\"name\":\"agent\"\}]}" >"$dir/both"
printf '[openai]\nlisten = "127.0.0.1:0"\nlimitz = 3\n[[openai.model]]\nid = "m"\n' >"$dir/unknown_key.toml"
printf '[openai]\nlisten = "127.0.0.1:0"\nkeys = "%s/keys"\n[[openai.model]]\nid = "m"\n' "$dir" >"$dir/keys.toml"
check "example settings" 0 "openai on 127.0.0.1:8080 with 1 models" check-config --config "$dir/both" --settings "$deploy/openai.toml"
check "class unknown" 1 "openai.toml" check-config --config "$dir/agent" --settings "$deploy/openai.toml"
check "unknown settings key" 1 "unknown_key.toml:3: openai.limitz: is not known here; did you mean 'limits'?" serve --config "$dir/good" --settings "$dir/unknown_key.toml"
check "no key file" 1 "ryeglade key new" serve --config "$dir/good" --settings "$dir/keys.toml"
check "key new" 0 "rg-" key new --file "$dir/keys" --name desk
check "key list" 0 "desk" key list --file "$dir/keys"
check "key unknown" 1 "no key with the id" key revoke --file "$dir/keys" 00000000
chmod 644 "$dir/keys"
check "key file readable by others" 1 "chmod 600" key list --file "$dir/keys"
check "ledger not json" 1 "parse error" ledger "$dir/json"
check "no command" 2 "no command"
check "unknown command" 2 "unknown command 'fly'" fly
check "unknown option" 2 "option" serve --fast
check "too many arguments" 2 "too many" version please
check "no config" 1 "EDGE_CONFIG" serve
check "missing file" 1 "cannot read" serve --config "$dir/none"
check "not json" 1 "parse error" serve --config "$dir/json"
check "no settings" 1 "settings are missing" check-config --config "$dir/settings"
check "bad number" 1 "promise is not a finite number: 'soon'" check-config --config "$dir/number"
# Invalid settings: the error names the file and the key.
check_invalid() { # name, key named in the error, the JSON of the classes, more settings
  echo "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"settings\":{\"classes\":[$3]$4}}" >"$dir/invalid"
  check "$1" 1 "invalid: settings.$2" check-config --config "$dir/invalid"
}
check_invalid "negative deadline" classes.0.deadline '{"name":"a","deadline":-5}' ''
check_invalid "zero deadline" classes.0.deadline '{"name":"a","deadline":0}' ''
check_invalid "negative promise" classes.0.promise '{"name":"a","promise":-1}' ''
check_invalid "negative window" classes.1.window '{"name":"a"},{"name":"b","window":-1}' ''
check_invalid "negative worth" classes.0.worth '{"name":"a","worth":-1}' ''
check_invalid "no name" classes.0.name '{"name":""}' ''
check_invalid "duplicate name" classes.1.name '{"name":"a"},{"name":"a"}' ''
check_invalid "zero connect timeout" limits.connect-timeout '{"name":"a"}' ',"limits":{"connect-timeout":0}'
check_invalid "negative drain grace" obligations.drain-grace '{"name":"a"}' ',"obligations":{"drain-grace":-1}'
check_invalid "negative cold" obligations.cold '{"name":"a"}' ',"obligations":{"cold":-1}'
# Values of another type, which in a flat text look the same as those that the node reads.
check_invalid "deadline in a list" classes.0.deadline '{"name":"a","deadline":[1]}' ''
check_invalid "deadline as a text" classes.0.deadline '{"name":"a","deadline":"5000000"}' ''
check_invalid "name in a list" classes.0.name '{"name":["a"]}' ''
check_invalid "attempts as a text" limits.max-attempts '{"name":"a"}' ',"limits":{"max-attempts":"3"}'
check_invalid "flag as a text" limits.cancel '{"name":"a"}' ',"limits":{"cancel":"true"}'
check_invalid "zones as a text" localities '{"name":"a"}' ',"localities":"z"'
check_invalid "limits in a list" limits '{"name":"a"}' ',"limits":[{"max-attempts":3}]'
check_invalid "negative idle time" limits.idle-close '{"name":"a"}' ',"limits":{"idle-close":-1}'
for limit in -5 1e30 '"64"' 64.5 true; do
  echo "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"limits\":{\"memory_mb\":$limit},\"settings\":{\"classes\":[{\"name\":\"a\"}]}}" >"$dir/limit"
  check "memory_mb $limit" 1 "limit: limits.memory_mb" check-config --config "$dir/limit"
done
# Settings that are unusual but valid.
many=$(for n in $(seq 20); do printf '{"name":"c%s","deadline":%s,"effect":"guarded","dedup-scope":"cell","window":%s},' "$n" "$((n * 200000))" "$n"; done)
echo "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"settings\":{\"classes\":[${many%,}],\"unknown\":{\"x\":[1]}}}" >"$dir/many"
check "twenty classes" 0 "ok: 20 classes" check-config --config "$dir/many"
check "bad address" 1 "listen is not an ip:port" check-config --config "$dir/listen"
check "cannot bind" 1 "cannot listen" serve --config "$dir/bind"
exit $fails
