#!/usr/bin/env bash
# A server that crashed is replaced at its address by one of another cell. See claim.txt.
. "$(dirname "$0")/../lib-2/run-case.sh" 6
