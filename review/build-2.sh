#!/bin/sh
# Builds the stand-ins of the second review (cases 6 and up) as bin/review-2, without the network. The deploy file's build comes
# first: the cases start bin/gingerfork by the deploy file's run.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && GOTOOLCHAIN=local GOPROXY=off go build -C review/standins-2 -buildvcs=false -o ../../bin/review-2 .
