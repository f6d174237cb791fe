#!/bin/sh
# See claim.txt. Exit 1: the rule was broken; 0: it held; 2: could not run. TROUBLE=0: without the disruption.
folder=$(dirname "$0")
exec sh "$folder/../common/run.sh" "$folder"
