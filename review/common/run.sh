#!/bin/sh
# Runs the case whose folder is given, with the line `run` of the deploy file. Exit 1: the rule was broken; 0: it held;
# 2: the case could not run. With TROUBLE=0 it runs without the disruption.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
case=review/bin/case-$(basename "$folder")
if [ -z "$run" ] || [ ! -x "$case" ] || [ ! -x build/ryeglade ]; then
  echo "build first: the line build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
"$case" "$folder/record.txt" "$run"
result=$?
tail -n 3 "$folder/record.txt"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
