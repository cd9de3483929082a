#!/usr/bin/env bash
# Scores the sites that a change has to hold on; see CONTRIBUTING.md.
# Usage: deploy/regression.sh KIT BENCH [full]
set -euo pipefail
kit=${1:?name the folder of the kit}
bench=${2:?name the program of the bench}
size=${3:-small}
jobs=$(($(nproc) / 2))
why="regression of $(git rev-parse --short HEAD)"

for site in sites/barid-mct further/songnha-catchup further-grown/songnha-catchup-grown; do
  "$bench" score "$kit/$site.toml" --jobs "$jobs" --why "$why"
done

large="$kit/large/barid-mct-large.toml"
if [ "$size" = full ]; then
  # 288 processes a day: one at a time.
  "$bench" score "$large" --jobs 1 --why "$why"
else
  "$bench" score "$large" --small --jobs "$jobs" --why "$why"
fi
