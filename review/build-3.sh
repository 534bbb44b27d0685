#!/usr/bin/env bash
# Builds the stand-ins of the third review, review/.standins-3, as target/review-3/standins3.
set -euo pipefail
cd "$(dirname "$0")/.standins-3"
go build -o ../../target/review-3/standins3 .
