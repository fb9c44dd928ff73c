#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts in review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness3 ./review/harness3
