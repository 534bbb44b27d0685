#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: the
# harness has its own module and imports the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.harness"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review/harness .
