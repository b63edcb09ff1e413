#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/harness-2/review2/*.java
