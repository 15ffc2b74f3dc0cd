#!/usr/bin/env bash
# Builds the stand-ins of all cases. They need Go's standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o bin/case ./standin
