#!/bin/sh
# Builds the stand-ins of the second review, to target/review-standin-2.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin-2 .
