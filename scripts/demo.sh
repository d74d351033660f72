#!/usr/bin/env bash
# Runs both example deployments on loopback: stand-ins and 6 routers each as processes of their own, an example table, mixed
# traffic, one router killed and one engine crashed on the way. Prints a summary; its last line is a JSON object. Exits with 1
# if an answer was lost, doubled, short or wrong.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${DEMO_SECONDS:-15}
work=$(mktemp -d)
pids=()

finish() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	if [ "${DEMO_KEEP:-}" = "" ]; then rm -rf "$work"; else echo "logs are in $work"; fi
}
trap finish EXIT

# start NAME COMMAND... runs a command in the background and sets pid to its process id.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pid=$!
	pids+=("$pid")
}

# wait_for URL waits until a URL answers with a status below 400.
wait_for() {
	for _ in $(seq 100); do
		if curl -sf -o /dev/null "$1"; then return; fi
		sleep 0.1
	done
	echo "no answer from $1" >&2
	exit 1
}

# settings FILE NAME CENTRE REGION BASE INDEX writes the settings of one router.
settings() {
	sed -e "s/^Name = .*/Name = $2/" -e "s/^DataCentre = .*/DataCentre = $3/" -e "s/^Region = .*/Region = $4/" \
		-e "s/^Callers = .*/Callers = 127.0.0.1:$(($5 + 300 + $6))/" \
		-e "s/^Operators = .*/Operators = 127.0.0.1:$(($5 + 400 + $6))/" \
		-e "s/^Peers = .*/Peers = 127.0.0.1:$(($5 + 500 + $6))/" \
		-e "s/^Address = 127.0.0.1:7001/Address = 127.0.0.1:$(($5 + 1))/" \
		-e "s/^Address = 127.0.0.1:7002/Address = 127.0.0.1:$(($5 + 2))/" \
		-e "s/^Validity = .*/Validity = 2s/" examples/router.ini >"$1"
}

# entry ID KIND GROUP PORT CENTRE REGION [PEERPORT ADMINPORT] prints one line of the instance list.
entry() {
	printf '{"Id":"%s","Kind":"%s","Group":"%s","Address":"127.0.0.1:%s","DataCentre":"%s","Region":"%s","State":"Live"' "$1" "$2" "$3" "$4" "$5" "$6"
	if [ $# -gt 6 ]; then printf ',"PeerAddress":"127.0.0.1:%s","AdminAddress":"127.0.0.1:%s"' "$7" "$8"; fi
	printf '}'
}

# deploy NAME BASE REGION GROUP MODEL VERSION ENGINES SERVICE SERVICES STORE CENTRES... starts one deployment.
deploy() {
	local name=$1 base=$2 region=$3 group=$4 model=$5 version=$6 engines=$7 service=$8 services=$9 store=${10}
	shift 10
	local centres=("$@") list="$work/$name-list.json" i
	local sep='{"Instances":[' fence=()
	[ "$name" = ledgerwell ] && fence=(--fence)
	{
		for i in $(seq 1 "$engines"); do printf '%s' "$sep"; entry "$group-$i" Engine "$group" $((base + 100 + i)) "${centres[i % ${#centres[@]}]}" "$region"; sep=','; done
		for i in $(seq 1 "$services"); do printf ','; entry "$service-$i" Service "$service" $((base + 200 + i)) "${centres[i % ${#centres[@]}]}" "$region"; done
		for i in $(seq 1 6); do printf ','; entry "$name-entry-$i" Router "" $((base + 300 + i)) "${centres[i % ${#centres[@]}]}" "$region" $((base + 500 + i)) $((base + 400 + i)); done
		printf ','; entry "$store" Cache "" $((base + 4)) "${centres[0]}" "$region"
		printf ','; entry "$name-weights" Weights "" $((base + 3)) "${centres[0]}" "$region"
		printf ']}'
	} >"$list"
	start "$name-log" bin/standin log --addr "127.0.0.1:$((base + 1))" --rate 300
	start "$name-list" bin/standin list --addr "127.0.0.1:$((base + 2))" --file "$list" --lag 2s
	start "$name-weights" bin/standin weights --addr "127.0.0.1:$((base + 3))"
	start "$name-cache" bin/standin cache --addr "127.0.0.1:$((base + 4))"
	for i in $(seq 1 "$engines"); do
		start "$group-$i" bin/standin engine --addr "127.0.0.1:$((base + 100 + i))" --model "$model" --version "$version" \
			--weights "127.0.0.1:$((base + 3))" --cache "127.0.0.1:$((base + 4))" --blocks 24 --decode 3ms "${fence[@]}"
	done
	for i in $(seq 1 "$services"); do start "$service-$i" bin/standin service --addr "127.0.0.1:$((base + 200 + i))"; done
	wait_for "http://127.0.0.1:$((base + 2))/v1/instances"
	for i in $(seq 1 6); do
		settings "$work/$name-$i.ini" "$name-entry-$i" "${centres[i % ${#centres[@]}]}" "$region" "$base" "$i"
		start "$name-entry-$i" bin/quetzalmount serve --settings "$work/$name-$i.ini"
		eval "${name}_router_$i=$pid"
	done
	for i in $(seq 1 6); do wait_for "http://127.0.0.1:$((base + 300 + i))/healthz"; done
	local instances
	instances=$(for i in $(seq 1 6); do printf '127.0.0.1:%s,' $((base + 400 + i)); done)
	bin/quetzalmount table apply --log "127.0.0.1:$((base + 1))" "examples/$name.csv" >"$work/$name-apply.txt"
	bin/quetzalmount table wait --log "127.0.0.1:$((base + 1))" --instances "${instances%,}" \
		--operator-key demo-operator-key
}

# load NAME BASE MODEL SERVICE SERVICES CALL starts callers of one deployment.
load() {
	local name=$1 base=$2 model=$3 service=$4 services=$5 call=$6 i args=()
	for i in $(seq 1 6); do args+=(--entry "127.0.0.1:$((base + 300 + i))"); done
	for i in $(seq 1 "$services"); do args+=(--service-addr "127.0.0.1:$((base + 200 + i))"); done
	while read -r team; do args+=(--team "$team=$name-$team-demo"); done < <(sed -n 's/^team,\([^,]*\),.*/\1/p' "examples/$name.csv")
	bin/standin load "${args[@]}" --model "$model" --service "$service" --call "$call" --duration "${seconds}s" \
		--completions 20 --calls 10 >"$work/$name-load.json" 2>"$work/$name-load.log" &
	load_pid=$!
}

echo "starting two deployments, logs in $work"
deploy ledgerwell 21000 eu-dub scribe scribe scribe-1 12 tally 4 pagebank dub-a dub-b dub-c dub-d
deploy vatulele 22000 viti-levu tab-models tab tab-7 9 order-desk 3 prompt-keep suva nadi lautoka

echo "sending traffic for $seconds s"
load ledgerwell 21000 scribe tally 4 post-lodgement
ledgerwell_load=$load_pid
load vatulele 22000 tab order-desk 3 place-order
vatulele_load=$load_pid

sleep $((seconds / 3))
echo "killing router ledgerwell-entry-3 and vatulele-entry-2"
kill -KILL "$ledgerwell_router_3" "$vatulele_router_2"
sleep $((seconds / 3))
echo "crashing engine scribe-1 and tab-models-1"
for port in 21101 22101; do
	curl -sf -X PUT -d '{"Crash":true,"DownMs":3000}' "http://127.0.0.1:$port/admin/faults" >/dev/null
done

status=0
wait "$ledgerwell_load" || status=1
wait "$vatulele_load" || status=1
if [ "$status" != 0 ]; then cat "$work"/*-load.log >&2; fi

echo "stopping all processes"
for i in 1 2 3 4 5 6; do
	for name in ledgerwell vatulele; do
		router=${name}_router_$i
		kill -TERM "${!router}" 2>/dev/null || true
	done
done
for i in 1 2 3 4 5 6; do
	for name in ledgerwell vatulele; do
		router=${name}_router_$i
		code=0
		wait "${!router}" || code=$?
		case $code in
		0 | 137) ;; # 137 is the killed one
		*) echo "$router exited with $code" >&2; status=1 ;;
		esac
	done
done

bin/standin report "$work/ledgerwell-load.json" "$work/vatulele-load.json" || status=1
exit $status
