#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# leaves the disruption out. PART=drill and PART=kill leave out the other part of it.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review2 rollout review/7/record.txt
