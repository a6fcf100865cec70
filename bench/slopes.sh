#!/usr/bin/env bash
# Control's processor time, memory and bytes of idle entries, as real processes in one failure
# domain, at several sizes. Prints one line a size. Needs `cargo build --release` first.
#
#   bench/slopes.sh [SECONDS] [SIZE]...
set -euo pipefail
cd "$(dirname "$0")/.."
bin=target/release
seconds=${1:-15}
shift || true
sizes=("${@:-}")
[ -n "${sizes[0]}" ] || sizes=(8 16 32 64)
work=$(mktemp -d)
pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
}
trap 'stop; rm -r "$work"' EXIT

# Ports that are free now: the kernel names one for each socket that is bound to port 0.
ports() {
    python3 - "$1" <<'PY'
import socket, sys
held = [socket.create_server(("127.0.0.1", 0)) for _ in range(int(sys.argv[1]))]
print(" ".join(str(s.getsockname()[1]) for s in held))
PY
}

# Processor ticks of a process: user and system.
ticks() { sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'; }
resident() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
metric() { curl -s "127.0.0.1:$1/metrics" | awk -v m="$2" 'index($0, m) == 1 {sum += $2} END {print sum + 0}'; }

run() {
    local size=$1 all
    read -r -a all <<<"$(ports $((size + 1)))"
    local platform=${all[0]} shared="$work/shared.ini"
    printf '[platform kv]\nlisten = 127.0.0.1:%s\n' "$platform" >"$work/standin.ini"
    "$bin/snipeway-standin" --config "$work/standin.ini" 2>"$work/standin.log" &
    pids+=($!)
    {
        printf '[platform]\naddresses = 127.0.0.1:%s\n' "$platform"
        printf '[peers]\nsecret = a key for the slopes\n[log]\nlevel = warn\n'
        printf '[pool portal]\nkind = service\n[pool fitting]\nkind = engine\n'
        for ((at = 1; at <= size; at++)); do
            printf '[peer n%d]\ndomain = nord\naddress = 127.0.0.1:%s\n' "$at" "${all[at]}"
        done
    } >"$shared"
    {
        cat "$shared"
    } | sed '/^\[log\]/,/^level/d; /^\[pool/,/^kind/d' >"$work/operator.ini"
    local entries=()
    for ((at = 1; at <= size; at++)); do
        {
            cat "$shared"
            printf '[instance]\nname = n%d\ndomain = nord\nlisten = 127.0.0.1:%s\n' "$at" "${all[at]}"
        } >"$work/n$at.ini"
        "$bin/snipeway-entry" --config "$work/n$at.ini" 2>"$work/n$at.log" &
        entries+=($!)
    done
    pids+=("${entries[@]}")
    sleep 3
    local began
    began=$(date +%s%N)
    "$bin/snipeway" contract apply etc/contracts/portal.ini --config "$work/operator.ini" \
        --wait 19 >"$work/apply.log"
    local spread=$((($(date +%s%N) - began) / 1000000))
    # The news of the start have to die down: four go with a message, one message a second.
    sleep $((5 + size))
    local before=() bytes=0 calls=0 cpu=0 rss=0
    for pid in "${entries[@]}"; do before+=("$(ticks "$pid")"); done
    for ((at = 1; at <= size; at++)); do
        bytes=$((bytes - $(metric "${all[at]}" snipeway_peer_bytes_total)))
        calls=$((calls - $(metric "${all[at]}" snipeway_platform_calls_total)))
    done
    sleep "$seconds"
    for ((at = 1; at <= size; at++)); do
        bytes=$((bytes + $(metric "${all[at]}" snipeway_peer_bytes_total)))
        calls=$((calls + $(metric "${all[at]}" snipeway_platform_calls_total)))
        cpu=$((cpu + $(ticks "${entries[at - 1]}") - before[at - 1]))
        local now
        now=$(resident "${entries[at - 1]}")
        rss=$((now > rss ? now : rss))
    done
    awk -v n="$size" -v s="$seconds" -v b="$bytes" -v c="$calls" -v t="$cpu" -v r="$rss" -v w="$spread" 'BEGIN {
        printf "%d instances: %.3f%% of a core, %.1f MB at most, %.0f bytes/s of messages an instance; %.2f platform calls/s in all; contract in force on all after %d ms\n",
            n, t / n / s, r / 1024, b / n / s, c / s, w
    }'
    stop
}

for size in "${sizes[@]}"; do run "$size"; done
