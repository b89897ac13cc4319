#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/verbenawell-entry ] && [ -x target/review/case-5 ] || exit 2
timeout -k 5 110 target/review/case-5 review/5/record.txt
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
