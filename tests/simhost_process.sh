#!/usr/bin/env bash
# Tests ryeglade_simhost as a process: its exit codes, and the one line that it writes about malformed input.
set -u
simhost=$1
fails=0
check() { # name, expected exit code, text expected on standard error, input as printf escapes
  local err code
  err=$(printf "$4" | "$simhost" 2>&1 >/dev/null)
  code=$?
  if [ "$code" -ne "$2" ] || [[ "$err" != *"$3"* ]] || [ "$(printf '%s' "$err" | grep -c '')" -gt 1 ]; then
    echo "FAIL $1: exit code $code, standard error '$err'"
    fails=$((fails + 1))
  else
    echo "ok $1"
  fi
}
check "end of input" 0 "" ""
check "empty batch" 0 "" '\x0c\0\0\0\x5a\x5c\x80\0\0\0\0\0'
check "truncated header" 1 "input ends after 2 bytes of a frame, expected 4" '\x0c\0'
check "truncated frame" 1 "input ends after 6 bytes of a frame, expected 32" '\x20\0\0\0\x5a\x5c'
check "huge length" 1 "out of range at byte 0, expected 12 to 268435456" '\xff\xff\xff\xff'
check "length below the header size" 1 "length 3 out of range" '\x03\0\0\0'
check "record past the end" 1 "truncated in record" '\x11\0\0\0\x5a\x5c\x80\0\0\0\0\0\x0b\xff\0\0\0'
check "event before any at record" 1 "before any 'at'" '\x19\0\0\0\x5a\x5c\x80\0\0\0\0\0\x03\x08\0\0\0\0\0\0\0\0\0\0\0'
exit $fails
