#!/bin/sh
# Builds the stand-ins of the second review (cases 6 and up) as bin/review-2, without the network. The deploy file's build comes
# first: the cases start bin/gingerfork by the deploy file's run.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && go build -C review/standins-2 -o ../../bin/review-2 .
