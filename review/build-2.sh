#!/bin/sh
# The stand-ins of this review are Python without dependencies: this only checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/standins-2/standins.py \
    review/6/case.py review/7/case.py review/8/case.py review/9/case.py
