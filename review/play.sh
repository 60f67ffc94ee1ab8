#!/usr/bin/env bash
# Plays a scenario of the stand-ins: play.sh SCENARIO FOLDER. The record goes into the folder of the case.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0: no disruption.
set -u
scenario=$1
record=$(cd "$2" && pwd)/record.txt
cd "$(dirname "$0")/.." || exit 2
for program in round/lovagemill-platform-entry round/lovagemill-platform-agent review/standins; do
    if [[ ! -x target/$program ]]; then
        echo "target/$program isn't built" >&2
        exit 2
    fi
done
dir=$(mktemp -d) || exit 2
player=
end() {
    # A player that ends by itself has ended its processes; one that is interrupted leaves them.
    if [[ -n $player ]]; then
        kill -KILL "$player" 2>/dev/null
        [[ -f $dir/pids ]] && while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$dir/pids"
    fi
    rm -rf "$dir"
}
trap end EXIT
trap 'exit 2' INT TERM
target/review/standins "$scenario" "$record" "$dir" &
player=$!
wait "$player"
code=$?
player=
exit "$code"
