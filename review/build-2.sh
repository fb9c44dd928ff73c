#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/ ./review/scenarios
