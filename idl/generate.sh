#!/bin/sh
# Writes the message classes again from the IDL; needs the thrift compiler.
set -e
cd "$(dirname "$0")/.."
out=packages/common/src/almonddeal_common/wire/gen
build=$(mktemp -d)
thrift --gen py:slots -out "$build" idl/almonddeal.thrift
mkdir -p "$out"
cp "$build"/almonddeal_common/wire/gen/*.py "$out"/
rm -f "$out"/*-remote
rm -r "$build"
