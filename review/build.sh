#!/bin/sh
# Builds the project's stand-ins that the cases start; run it after the build
# of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
npx tsc -b platform/stand-ins
