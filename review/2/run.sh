#!/usr/bin/env bash
# Plays the case once; see claim.txt. TROUBLE=0 leaves the kills out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/killed
if [ ! -x target/monsoonfork ] || [ ! -x "$program" ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
exec "$program" review/2/record.txt
