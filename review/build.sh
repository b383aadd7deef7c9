#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: Python modules, checked here
# and compiled, which need no other library.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review
