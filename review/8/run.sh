#!/bin/bash
# The policy of a queue allows eight of forty workers, none of them among the first thirty.
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the trouble out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lavenderpond-edge ] || [ ! -x target/review-2 ]; then
  echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
exec target/review-2 advice review/8
