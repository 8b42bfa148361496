#!/bin/sh
# The stand-ins of the cases are plain Python and use the standard library only.
cd "$(dirname "$0")" && python3 -m compileall -q lib 1 2 3 4
