#!/bin/sh
# Builds the stand-ins of the scripted cases 11 to 15. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 && go build -o target/review-3/stand ./review/_stand-3
