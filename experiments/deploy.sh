#!/usr/bin/env bash
# Starts a deployment on loopback for the experiments in this directory:
#   bash experiments/deploy.sh DIR
# DIR receives the binary, the settings, the tokens (env.sh), the logs and one pid
# file per process. Environment variables set the numbers of hosts, engines and
# services (HOSTS, ENGINES, SERVICES), flags of the stand-ins (ENGINE_FLAGS,
# SERVICE_FLAGS, PLATFORM_FLAGS) and the deployment document (DOCUMENT).
set -euo pipefail

dir=$(mkdir -p "$1" && cd "$1" && pwd)
hosts=${HOSTS:-3}
engines=${ENGINES:-8}
services=${SERVICES:-4}
engine_flags=${ENGINE_FLAGS:---slots 8 --token-rate 400 --sequence-rate 50 --tick 40ms}
service_flags=${SERVICE_FLAGS:-}
platform_flags=${PLATFORM_FLAGS:-}
document=${DOCUMENT:-$(dirname "$0")/deployment.ini}
domains=(aarhus odense copenhagen aalborg)
bin="$dir/sapphirehatch"
go build -o "$bin" ./cmd/sapphirehatch

start() { # start NAME ARGUMENT...
	local name=$1
	shift
	"$bin" "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	echo $! >"$dir/$name.pid"
	disown
}

token() { head -c 24 /dev/urandom | base64 | tr -d '/+='; }
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

CALLER_TOKEN=$(token) TRAINER_TOKEN=$(token) OPERATOR_TOKEN=$(token)
cat >"$dir/env.sh" <<EOF
export EXPERIMENT_DIR=$dir
export CALLER_TOKEN=$CALLER_TOKEN
export TRAINER_TOKEN=$TRAINER_TOKEN
export SAPPHIREHATCH_TOKEN=$OPERATOR_TOKEN
EOF
sed -e "s/@CALLER@/$(digest "$CALLER_TOKEN")/" -e "s/@TRAINER@/$(digest "$TRAINER_TOKEN")/" \
	-e "s/@OPERATOR@/$(digest "$OPERATOR_TOKEN")/" "$document" >"$dir/deployment.ini"

platform=127.0.0.1:14000
start platform standin platform --address $platform --control-address 127.0.0.1:14001 --member-lag 500ms $platform_flags
sleep 0.3
for ((i = 1; i <= engines; i++)); do
	start "engine$i" standin engine --address 127.0.0.1:$((14100 + 2 * i)) --control-address 127.0.0.1:$((14101 + 2 * i)) \
		--platform $platform --id "engine$i" --pool advice --failure-domain "${domains[$((i % 4))]}" --log-file "$dir/engine$i.jsonl" $engine_flags
done
for ((i = 1; i <= services; i++)); do
	start "service$i" standin service --address 127.0.0.1:$((14300 + 2 * i)) --control-address 127.0.0.1:$((14301 + 2 * i)) \
		--platform $platform --id "service$i" --pool booking --failure-domain "${domains[$((i % 4))]}" --log-file "$dir/service$i.jsonl" $service_flags
done
start scorer1 standin scorer --address 127.0.0.1:14500 --control-address 127.0.0.1:14501 \
	--platform $platform --id scorer1 --pool scorer --failure-domain aarhus

names=()
for ((i = 1; i <= hosts; i++)); do names+=(--host "host$i"); done
"$bin" keys --out "$dir/keys" "${names[@]}" >/dev/null
for ((i = 1; i <= hosts; i++)); do
	cat >"$dir/host$i.ini" <<EOF
[host]
id = host$i
failure_domain = ${domains[$((i % 4))]}
region = dk
caller_address = 127.0.0.1:$((14600 + 3 * i))
admin_address = 127.0.0.1:$((14601 + 3 * i))
peer_address = 127.0.0.1:$((14602 + 3 * i))
seed_peers = 127.0.0.1:14605

[platform]
address = $platform

[tls]
ca = $dir/keys/ca.crt
certificate = $dir/keys/host$i.crt
key = $dir/keys/host$i.key

[access]
operator_token_sha256 = $(digest "$OPERATOR_TOKEN")
EOF
	start "host$i" serve --settings "$dir/host$i.ini"
done

for ((try = 0; ; try++)); do
	if SAPPHIREHATCH_TOKEN=$OPERATOR_TOKEN "$bin" config apply --host 127.0.0.1:14604 --base 0 "$dir/deployment.ini"; then break; fi
	if ((try == 50)); then
		echo "deployment document was not accepted" >&2
		exit 1
	fi
	sleep 0.2
done
sleep 3
echo "deployment in $dir: $hosts hosts, $engines engines, $services services"
