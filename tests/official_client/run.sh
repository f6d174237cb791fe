#!/usr/bin/env bash
# Installs the official client as its lock file says, and plays it against the lab program given.
set -eu
lab=$(readlink -f "$1")
cd "$(dirname "$0")"
npm ci --no-audit --no-fund --silent
RYEGLADE_LAB=$lab node --test test.mjs
