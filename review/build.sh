#!/bin/sh
# Builds the stand-in that all scripts start. Run it at the root of the repository, after the
# build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o "$root/target/review-standin" .
