#!/bin/sh
# Builds the stand-ins that the scripts of the second review (review/6 and on) start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-stand-2 ./review/_stand2
