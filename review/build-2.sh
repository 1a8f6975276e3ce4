#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/rig2"
GOWORK=off go build -o ../../target/review-rig2 .
