#!/bin/bash
# Builds the stand-ins of the third review into target/review3. The programs under test are built by the
# command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review3
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -ldflags=-linkmode=external -o target/review3/driver3 ./review/driver3
