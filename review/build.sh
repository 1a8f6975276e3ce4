#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run in the repository's root
# or anywhere else, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../../target/review-standin .
