#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-stand-2 ./review/_stand-2
