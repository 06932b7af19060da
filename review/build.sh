#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, into review/bin/.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/stand ./review/_stand
