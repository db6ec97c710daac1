#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They need the standard library
# alone, and are a module of their own outside of the workspace.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin .
