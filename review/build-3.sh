#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13 into target/review-3, with the
# libraries that the deploy file declares.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
# program NAME FILE...: a stand-in over the project's base, kernel and http.
program() {
    local name=$1
    shift
    cc -std=gnu11 -O2 -D_GNU_SOURCE -DPF_VERSION='"review"' -Ipackages/base \
        -Ipackages/kernel -Ipackages/http -Itests/fakes "$@" \
        tests/fakes/fake.c packages/base/*.c packages/kernel/*.c \
        packages/http/*.c -lsodium -lyaml -lxxhash -lbsd -ljansson -lev \
        -lcurl -lmicrohttpd -largtable2 -lm -o "$out/$name"
}
program store review/standins-3/store.c
program worker review/standins-3/worker.c
