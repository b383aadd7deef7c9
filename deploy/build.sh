#!/bin/sh
# Installs the roles and the libraries that they need under target/deps.
set -e
pip="python3 -m pip install -q --disable-pip-version-check --upgrade --target target/deps"
if [ ! target/libraries -nt deploy/requirements.txt ]; then
    $pip -c requirements.txt -r deploy/requirements.txt
    touch target/libraries
fi
# Left by an earlier build, they would bring modules back that are gone.
rm -rf packages/common/build packages/entry/build platform/build
$pip --no-deps ./packages/common ./packages/entry ./platform
