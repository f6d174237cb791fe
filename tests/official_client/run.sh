#!/usr/bin/env bash
# Installs the official client as pinned in its lock file, and runs its tests against the given ryeglade-lab
# program.
set -eu
lab=$(readlink -f "$1")
cd "$(dirname "$0")"
npm ci --no-audit --no-fund --silent
RYEGLADE_LAB=$lab node --test test.mjs
