#!/usr/bin/env bash
# QUOTA: a host is added and the platform's store goes down. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the outage out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
exec target/review-harness3 quota-added-host "$folder"
