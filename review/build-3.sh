#!/bin/sh
# Builds the stand-ins of the third review into target/. It needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -C review/standin-3 -o ../../target/review-standin3 .
