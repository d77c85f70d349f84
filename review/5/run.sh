#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" && exec /usr/bin/python3 case.py
