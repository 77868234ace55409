#!/usr/bin/env bash
# Plays the case of this folder. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run.
set -u
dir=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$dir/../.." && pwd)
program="$repository/target/review-standin-2"
[ -x "$program" ] || exit 2
exec "$program" long-stop "$repository" "$dir/record.txt"
