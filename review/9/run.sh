#!/usr/bin/env bash
# Two requests with one key arrive while the balancer is held up for 0.12 s. See claim.txt.
. "$(dirname "$0")/../lib-2/run-case.sh" 9
