#!/usr/bin/env bash
# Builds what the scripts of this review start: the project's program, as the deploy file does,
# and the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/peridotpier
mkdir -p target/review-2
cd review/standin-2
GOWORK=off go build -o ../../target/review-2/standin2 .
