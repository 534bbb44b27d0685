#!/usr/bin/env bash
# Builds the stand-in that the scripts in review/6 to review/10 start. The program under
# test is built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.stand-2"
go build -buildvcs=false -o ../../target/review-2/stand .
