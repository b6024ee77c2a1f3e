#!/bin/bash
# Builds the stand-ins and drivers of the cases into target/.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-driver ./review/driver
