#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. TROUBLE=0 plays without the disruption.
exec node "$(dirname "$0")/case.mjs"
