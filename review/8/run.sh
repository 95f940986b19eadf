#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it
# couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 run.py
