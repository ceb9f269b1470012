#!/usr/bin/env bash
# run-case.sh N PROGRAM [ARGUMENT...]: runs a stand-in for case N from the repository's root. The edges that it starts end with it.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
number=$1
program=review/bin/$2
shift 2
[ -x "$program" ] && [ -x target/pimentopoint-edge ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 110 "$program" "$@" "review/$number/record.txt" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
