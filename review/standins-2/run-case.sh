#!/bin/sh
# run-case.sh CASE FOLDER: plays a case and writes FOLDER/record.txt. Ends whatever the case has started.
case_name=$1
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/../.." || exit 2
world=target/review-2/world
[ -x "$world" ] || { echo "could not run: $world is missing; run review/build-2.sh" >&2; exit 2; }
[ -x target/release/lemoncleat ] || { echo "could not run: the deploy file's build is missing" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
end() {
    kill -9 "$player" 2>/dev/null
    for file in "$folder"/*.pid; do
        [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$folder"
}
trap 'end; exit 2' INT TERM HUP
"$world" "$case_name" "$record" "$folder" &
player=$!
# 115 s at most.
waited=0
while kill -0 "$player" 2>/dev/null && [ "$waited" -lt 115 ]; do
    sleep 1
    waited=$((waited + 1))
done
if kill -0 "$player" 2>/dev/null; then
    echo "could not run: not done after 115 s" >&2
    end
    exit 2
fi
wait "$player"
code=$?
[ -z "${KEEP_LOG:-}" ] || cp "$folder"/*.log "$KEEP_LOG"
end
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
