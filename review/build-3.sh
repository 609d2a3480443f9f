#!/bin/sh
# Builds the stand-ins of the third review. It needs the Go toolchain only.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin-3 .
