#!/usr/bin/env bash
# Runs the scripts and scenarios of the review against waxwing-front, each with and without
# its disruption. Prints one line each: 0 means that the rule held, 1 that it was broken,
# 2 that the case could not run. Exits with 1 unless all held.
set -u
cd "$(dirname "$0")/.." || exit 2
export FRONT="$PWD/target/waxwing-front"
failed=0
for name in unframed lease dark quarantine isolation limit pause; do
	for trouble in 1 0; do
		folder="target/review/$name-$trouble"
		mkdir -p "$folder"
		TROUBLE=$trouble target/review-lab "$name" "$folder" >"$folder/output.txt" 2>&1
		status=$?
		echo "$name trouble=$trouble: $status"
		[ "$status" = 0 ] || failed=1
	done
done
exit $failed
