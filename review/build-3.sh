#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. The project's own program is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/scene
