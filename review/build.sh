#!/bin/sh
# Builds the stand-ins that the cases' scripts start, into review/bin. They use the standard library only.
set -eu
cd "$(dirname "$0")/standins"
GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/standins .
