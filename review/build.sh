#!/usr/bin/env bash
# Compiles the stand-ins and cases into review/target. Needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes harness/review/*.java
