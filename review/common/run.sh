#!/bin/sh
# Runs the case whose folder is given, with the line `run` of the deploy file; the second argument is its record. Exit 1:
# the rule was broken; 0: it held; 2: the case could not run. With TROUBLE=0 it runs without the disruption.
folder=$(cd "$1" && pwd) || exit 2
record=$2
cd "$folder/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
case=review/bin/case-$(basename "$folder")
if [ -z "$run" ] || [ ! -x "$case" ] || [ ! -x build/ryeglade ]; then
  echo "could not run: build first, by the line build of deploy/balancer.toml and then review/build.sh" | tee "$record" >&2
  exit 2
fi
# The case ends all its processes itself; if it is ended from outside, they end with it.
timeout -k 3 115 "$case" "$record" "$run"
result=$?
tail -n 3 "$record"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
