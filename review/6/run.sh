#!/usr/bin/env bash
# Plays the case "drill"; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig2 ] && [ -x target/monsoonfork ] || exit 2
exec target/review-2/rig2 drill review/6
