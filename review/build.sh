#!/bin/sh
# Builds the stand-in that the scripts of the review start.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -o ../../target/review-standin .
