#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They use the standard library alone.
cd "$(dirname "$0")" || exit 2
mkdir -p ../bin && go build -buildvcs=false -o ../bin/review-2 ./standin2
