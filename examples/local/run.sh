#!/usr/bin/env bash
# Runs the platform stand-in, three targets (one of which fails every request) and
# three daemons as separate processes on loopback. It sends 40 lookups, then a
# booking that it repeats at another daemon, and stops everything. Run it from the
# root of the repository.
set -euo pipefail

dir=$(mktemp -d)
pids=()
finish() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT

go build -o "$dir/" ./standin ./wisteriad
"$dir/standin" certs --dir "$dir" here-1 here-2 here-3

vms=()
for i in 1 2 3; do
  vms+=(--vm "here-$i,local,here,127.0.0.1:700$i,127.0.0.1:710$i,127.0.0.1:720$i")
done
"$dir/standin" platform --settings examples/local/settings.json "${vms[@]}" 2>"$dir/platform.log" &
pids+=($!)

for i in 1 2 3; do
  fault=()
  if [ "$i" = 2 ]; then fault=(--fault fail); fi
  "$dir/standin" target --id "reservas-$i" --listen "127.0.0.1:808$i" "${fault[@]}" 2>"$dir/target-$i.log" &
  pids+=($!)
done

for i in 1 2 3; do
  cat >"$dir/here-$i.json" <<EOF
{
  "vm": "here-$i", "region": "local", "data-centre": "here",
  "caller-address": "127.0.0.1:700$i", "inner-address": "127.0.0.1:710$i", "admin-address": "127.0.0.1:720$i",
  "inner-tls-certificate": "$dir/here-$i.pem", "inner-tls-key": "$dir/here-$i.key", "inner-tls-authority": "$dir/fleet-ca.pem",
  "platform-url": "http://127.0.0.1:7900",
  "fleet-secrets": ["000102030405060708090a0b0c0d0e0f"],
}
EOF
  "$dir/wisteriad" --settings "$dir/here-$i.json" 2>"$dir/here-$i.log" &
  pids+=($!)
done

for _ in $(seq 100); do
  if curl -fs http://127.0.0.1:7001/v1/ready >/dev/null; then break; fi
  sleep 0.1
done

echo "== which addresses to use"
curl -s "http://127.0.0.1:7001/v1/addresses?service=reservas"
echo "== 40 lookups by target; reservas-2 fails its work, callers do not see it"
for i in $(seq 40); do
  curl -s -H "Wisteria-Service: reservas" -H "X-Request-Id: lookup-$i" http://127.0.0.1:7001/bookings/7
  echo
done | sed 's/.*"target":"\([^"]*\)".*/\1/' | sort | uniq -c
echo "== its state at this daemon, from the metrics"
curl -s http://127.0.0.1:7201/metrics | grep '^wisteria_targets'
echo "== a booking and its repeat at another daemon"
token=$(curl -s -X POST "http://127.0.0.1:7001/v1/order-tokens?service=reservas" | sed 's/.*"token":"\([^"]*\)".*/\1/')
for port in 7001 7002; do
  curl -s -D - -X POST -H "Wisteria-Service: reservas" -H "Idempotency-Key: \"$token.counter-1\"" \
    -d '{"windbreak":7}' "http://127.0.0.1:$port/bookings" | grep -iE "^(HTTP|Wisteria-Outcome|Wisteria-Replayed)|request-id\":"
  echo
done
