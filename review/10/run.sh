#!/bin/sh
. "$(dirname "$0")/../common-2/run.sh"
