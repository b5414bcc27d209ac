#!/usr/bin/env bash
# Plays one case: run-case.sh NAME FOLDER. The scripts of the cases call it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
if ! [ -x target/release/basaltarchd ] || ! [ -x target/release/basaltarch-standin ] ||
  ! [ -x target/review/release/review-case ]; then
  timeout 90 review/build.sh >&2 || exit 2
fi
temporary=$(mktemp -d) || exit 2
end_all() {
  # The case ends its processes itself; these are left only if the case was ended.
  if [ -f "$temporary/processes" ]; then
    while read -r process; do
      case $(readlink "/proc/$process/exe") in
        "$PWD"/target/release/*) kill -KILL "$process" 2> /dev/null ;;
      esac
    done < "$temporary/processes"
  fi
  rm -rf "$temporary"
}
trap end_all EXIT
# 120 seconds at most, a build included.
timeout --kill-after=3 $((SECONDS < 105 ? 110 - SECONDS : 5)) \
  target/review/release/review-case "$name" "$folder" "$temporary" &
playing=$!
trap 'kill -TERM "$playing"; wait "$playing"; exit 2' INT TERM
wait "$playing"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
