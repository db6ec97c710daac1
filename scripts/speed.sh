#!/usr/bin/env bash
# Measures the data path: the stand-ins, a host on one core and a host as it
# likes, each a process of its own on loopback. Arguments go to pierctl speed.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

build
start_site speed 2
GOMAXPROCS=1 start_host 1
one_core=$host_pid
start_host 2
"$work/pierctl" speed --dir "$work/site" --one-core "$one_core" --free "$host_pid" "$@"
uptime
