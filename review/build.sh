#!/bin/sh
# Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
# Builds the project's stand-ins that the cases start; run it after the build
# of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
npx tsc -b platform/stand-ins
