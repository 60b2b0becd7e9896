#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; the build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
