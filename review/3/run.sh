#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 does the same without the disruption.
exec "$(dirname "$0")/../run-case.sh" unframed-answer "$(dirname "$0")"
