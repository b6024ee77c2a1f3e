#!/bin/bash
# Builds the driver with all stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/driver2
