#!/usr/bin/env bash
# Prints a configuration of a given size: make-config.sh MODELS ADAPTERS ORGANISATIONS UPSTREAMS. Its
# upstreams do not exist; it is used to measure the cost of the configuration itself.
set -euo pipefail
awk -v models="$1" -v adapters="$2" -v organisations="$3" -v upstreams="$4" 'BEGIN {
  print "[fleet main]\nshare_shards = 1"
  for (i = 1; i <= 9; i++) printf "[domain domain-%d]\n", i
  for (i = 1; i <= organisations; i++) {
    printf "[organisation organisation-%03d]\nrate = 3000\nburst = 30000\n", i
    printf "[key organisation-%03d-key]\norganisation = organisation-%03d\ndigest = %064x\n", i, i, i
  }
  for (i = 1; i <= models; i++) printf "[model model-%03d]\nmemory = 14GiB\n", i
  for (i = 1; i <= adapters; i++)
    printf "[adapter adapter-%04d]\nbase = model-%03d\nmemory = 160MiB\n", i, (i - 1) % models + 1
  for (i = 1; i <= upstreams; i++)
    printf "[upstream engine-%04d]\nkind = engine\naddress = 127.0.0.1:%d\ndomain = domain-%d\nslots = 16\nfresh_slots = 2\n", i, 20000 + i, i % 9 + 1
  pools = int((upstreams + 49) / 50)
  for (p = 0; p < pools; p++) {
    printf "[route pool-%02d]\npath = /pool-%02d\nkind = engine\nopen = yes\nupstreams = ", p, p
    for (i = p * 50 + 1; i <= (p + 1) * 50 && i <= upstreams; i++) printf "%sengine-%04d", (i > p * 50 + 1 ? ", " : ""), i
    printf "\nmodels = "
    n = 0
    for (m = p + 1; m <= models; m += pools) printf "%smodel-%03d", (n++ ? ", " : ""), m
    if (!n) printf "model-001"
    print ""
  }
}'
