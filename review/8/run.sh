#!/usr/bin/env bash
# Plays the case with the daemons of the deploy file; TROUBLE=0 leaves out its disruption.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/wisteriad ] || [ ! -x target/review-rig2 ]; then
  echo "build first: the build line of deploy/system.toml, and review/build-2.sh"
  exit 2
fi
exec target/review-rig2 left-before "$folder/record.txt"
