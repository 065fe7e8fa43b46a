#!/usr/bin/env bash
# Plays the case reborn; without the lost answer and the cut if TROUBLE is 0.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apricotwinch ] && [ -x target/standins2 ] || exit 2
exec target/standins2 reborn review/8
