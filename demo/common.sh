# Functions that the scenarios share: processes on loopback, what is noted about them, and the report.
# shellcheck shell=bash

readonly DOMAINS=(east west north)
readonly OUT=demo/out
readonly DAISYSWITCH=bin/daisyswitch
readonly STANDIN=bin/standin
readonly EVENTS=$OUT/events.jsonl

declare -A PID=() # of every process that this script started, by name
STARTED=$SECONDS

say() { printf '[%3d s] %s\n' $((SECONDS - STARTED)) "$*"; }

fail() {
  say "failed: $*"
  exit 1
}

# clean ends the processes that this script started, by their ids, and no others.
clean() {
  trap '' INT TERM
  local name
  for name in "${!PID[@]}"; do
    kill -TERM "${PID[$name]}" 2>/dev/null
    kill -CONT "${PID[$name]}" 2>/dev/null # in case it is frozen
  done
  for _ in {1..20}; do
    alive || return 0
    sleep 0.1
  done
  for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null; done
}

alive() {
  local name
  for name in "${!PID[@]}"; do
    kill -0 "${PID[$name]}" 2>/dev/null && return 0
  done
  return 1
}

trap clean EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... runs a process of the demo with its log under demo/out.
start() {
  local name=$1
  shift
  "$@" >>"$OUT/$name.log" 2>&1 &
  PID[$name]=$!
}

note() { "$STANDIN" note --journal "$EVENTS" "$@" || fail "note $*"; }

# listening PORT succeeds if something takes connections there.
listening() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# ready PORT succeeds if the process with this admin port says that it is ready.
ready() {
  local status=''
  { exec 3<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null || return 1
  printf 'GET /ready HTTP/1.0\r\n\r\n' >&3
  read -r -t 1 _ status _ <&3
  exec 3<&- 3>&-
  [ "$status" = 200 ]
}

# Each process has a block of ten ports.
readonly BLOCK=10 BLOCKS=16
free_base() {
  local try base port
  for try in {1..50}; do
    base=$((10000 + (RANDOM % 120) * BLOCK * BLOCKS))
    for ((port = base; port < base + BLOCK * BLOCKS; port++)); do
      listening "$port" && continue 2
    done
    echo "$base"
    return
  done
  return 1
}

# The ports of control process 1 to 3 and entry 0 to 5.
control_port() { echo $((BASE + ($1 - 1) * BLOCK + $2)); }
entry_port() { echo $((BASE + (3 + $1) * BLOCK + $2)); }
readonly INNER=0 ADMIN=1 CALLERS=2 PLATFORM=3 OPERATORS=4

entry_name() { echo "${DOMAINS[$(($1 / 2))]}-$(($1 % 2 + 1))"; }

upstream_admin() { echo $((BASE + 10 * BLOCK + $1)); }

# Scenarios that set LINKED to 1 put a link between north and the other domains; it stands in for the inner ports of both sides.
LINKED=0
readonly NORTH=2
link_port() { echo $((BASE + 9 * BLOCK + $1)); }

# inner VIEWER OWNER PORT LINK prints the address by which a process in domain VIEWER reaches this port of a process in domain OWNER.
inner() {
  if ((LINKED && ($1 == NORTH) != ($2 == NORTH))); then
    echo "127.0.0.1:$(link_port "$4")"
  else
    echo "127.0.0.1:$3"
  fi
}

# replicas and neighbors print the lists of control processes and entries as domain VIEWER reaches them.
replicas() {
  local id
  for id in 1 2 3; do
    echo "    {\"id\": $id, \"inner\": \"$(inner "$1" $((id - 1)) "$(control_port $id $INNER)" $((id - 1)))\", \"domain\": \"${DOMAINS[$((id - 1))]}\"},"
  done
}

neighbors() {
  local i
  for i in {0..5}; do
    echo "    {\"name\": \"$(entry_name "$i")\", \"inner\": \"$(inner "$1" $((i / 2)) "$(entry_port "$i" $INNER)" $((3 + i)))\", \"domain\": \"${DOMAINS[$((i / 2))]}\"},"
  done
}

start_link() {
  local id i forwards=()
  for id in 1 2 3; do forwards+=(--forward "127.0.0.1:$(link_port $((id - 1)))=127.0.0.1:$(control_port $id $INNER)"); done
  for i in {0..5}; do forwards+=(--forward "127.0.0.1:$(link_port $((3 + i)))=127.0.0.1:$(entry_port "$i" $INNER)"); done
  start link "$STANDIN" link "${forwards[@]}" --admin "127.0.0.1:$(link_port 9)"
}

# tell PORT BODY changes the mode of a stand-in by its admin port.
tell() {
  local status=''
  exec 3<>"/dev/tcp/127.0.0.1/$1" || fail "no admin interface at port $1"
  printf 'PUT /v1/standin/mode HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' ${#2} "$2" >&3
  read -r -t 2 _ status _ <&3
  exec 3<&- 3>&-
  [ "$status" = 200 ] || fail "mode $2 was answered $status"
}

write_control() {
  cat >"$OUT/control-$1.json" <<SETTINGS
{
  "name": "control-$1",
  "id": $1,
  "domain": "${DOMAINS[$(($1 - 1))]}",
  "inner": "127.0.0.1:$(control_port "$1" $INNER)",
  "admin": "127.0.0.1:$(control_port "$1" $ADMIN)",
  "data": "$OUT/data-$1",
  "control": [
$(replicas $(($1 - 1)))
  ],
  "lease_ms": 5000, // short, so that a demo sees what follows from its end
}
SETTINGS
}

write_entry() {
  cat >"$OUT/$(entry_name "$1").json" <<SETTINGS
{
  "name": "$(entry_name "$1")",
  "domain": "${DOMAINS[$(($1 / 2))]}",
  "inner": "127.0.0.1:$(entry_port "$1" $INNER)",
  "admin": "127.0.0.1:$(entry_port "$1" $ADMIN)",
  "callers": "127.0.0.1:$(entry_port "$1" $CALLERS)",
  "platform": "127.0.0.1:$(entry_port "$1" $PLATFORM)",
  "operators": "127.0.0.1:$(entry_port "$1" $OPERATORS)",
  "control": [
$(replicas $(($1 / 2)))
  ],
  "entries": [
$(neighbors $(($1 / 2)))
  ],
  "drain_ms": 2000,
}
SETTINGS
}

start_control() { start "control-$1" "$DAISYSWITCH" control --settings "$OUT/control-$1.json"; }
start_entry() { start "$(entry_name "$1")" "$DAISYSWITCH" entry --settings "$OUT/$(entry_name "$1").json"; }

# operate runs an operators' command against any entry.
operate() { "$DAISYSWITCH" --entry "$OPERATORS_OF_ALL" --operator demo "$@"; }

# change runs a command that changes the configuration and notes the version that it was accepted with.
change() {
  local answer version
  answer=$(operate --json "$@") || fail "$*: $answer"
  version=$(sed -n 's/.*"version": *\([0-9]*\).*/\1/p' <<<"$answer" | head -1)
  note --version "${version:-0}" config_accepted
}

declare -A JOB=() # ids by what the demo calls the jobs

# submit NAME OPTIONS... submits a job and remembers the id that it was given.
submit() {
  local name=$1 answer
  shift
  answer=$(operate --json job submit --team ledger "$@" 2>>"$OUT/jobs.log") || fail "submit $*: $answer"
  JOB[$name]=$(sed -n 's/.*"job": *"\([^"]*\)".*/\1/p' <<<"$answer" | head -1)
}

leader() { operate --json status | sed -n 's/.*"leader": *\([0-9]*\).*/\1/p' | head -1; }

wait_ready() {
  local name=$1 port=$2
  for _ in {1..150}; do
    ready "$port" && return 0
    kill -0 "${PID[$name]}" 2>/dev/null || fail "$name ended: $(tail -1 "$OUT/$name.log")"
    sleep 0.1
  done
  fail "$name was not ready in 15 s: $(tail -1 "$OUT/$name.log")"
}

# stop NAME [note options] ends a process as planned and notes its exit code.
stop() {
  local name=$1 code
  shift
  note --name "$name" "$@" stop_began
  kill -TERM "${PID[$name]}"
  wait "${PID[$name]}"
  code=$?
  unset "PID[$name]"
  note --name "$name" --code "$code" "$@" stop_ended
  say "  $name ended with code $code"
}

# murder NAME [note options] kills a process without warning.
murder() {
  local name=$1
  shift
  note --name "$name" "$@" killed
  kill -KILL "${PID[$name]}"
  wait "${PID[$name]}" 2>/dev/null
  unset "PID[$name]"
}

# until_load SECOND waits until this second of the load.
until_load() {
  while ((SECONDS - LOAD_STARTED < $1)); do sleep 0.1; done
}

unfinished() { operate --json job show "${JOB[$1]}" | grep -Ec '"state": *"(queued|starting|running|stopping|checkpointed)"'; }

start_system() {
  local i id
  for id in 1 2 3; do write_control "$id"; start_control "$id"; done
  for i in {0..5}; do write_entry "$i"; start_entry "$i"; done
  for i in {0..5}; do wait_ready "$(entry_name "$i")" "$(entry_port "$i" $ADMIN)"; done
}

# platform_of I prints the options for the platform addresses of the entries of I's domain, first the one that stands beside it.
platform_of() {
  local first=$(($1 / 2 * 2))
  echo "--entry 127.0.0.1:$(entry_port "$1" $PLATFORM) --entry 127.0.0.1:$(entry_port $((first + 1 - $1 % 2)) $PLATFORM)"
}

start_upstream() {
  # shellcheck disable=SC2046 # the options are words
  start "upstream-$1" "$STANDIN" upstream --name "upstream-$1" --domain "${DOMAINS[$(($1 / 2))]}" $(platform_of "$1") \
    --class bookings --seed "$1" --admin "127.0.0.1:$(upstream_admin "$1")" --journal "$OUT/upstream-$1.jsonl"
}

start_worker() {
  local domain=${DOMAINS[$(($1 / 2))]}
  # shellcheck disable=SC2046 # the options are words
  start "worker-$1" "$STANDIN" worker --name "worker-$1" --domain "$domain" --rack "$domain-rack" $(platform_of "$1") \
    --cpu 8 --memory-gib 32 --journal "$OUT/worker-$1.jsonl"
}

start_standins() {
  local i watched=()
  for i in {0..5}; do
    start_upstream "$i"
    start_worker "$i"
    watched+=(--entry "$(entry_name "$i")=127.0.0.1:$(entry_port "$i" $OPERATORS)")
  done
  start watch "$STANDIN" watch --journal "$OUT/events-watch.jsonl" "${watched[@]}"
}

start_load() {
  local i entries=()
  for i in {0..5}; do
    entries+=(--entry "127.0.0.1:$(entry_port "$i" $CALLERS)" --ready "127.0.0.1:$(entry_port "$i" $ADMIN)")
  done
  start caller "$STANDIN" caller --class bookings "${entries[@]}" --rate 300 --duration ${LOAD_SECONDS}s --post-share 0.4 --journal "$OUT/caller-1.jsonl"
  LOAD_STARTED=$SECONDS
}

configure() {
  change class put bookings --kind service --target-p99 50ms
  change class put refunds --kind batch --volume 1000 --due 23:00
  change team put ledger --cpu 100 --memory-gib 400 --accelerators 0
}

finish() {
  local code
  say "load ends"
  wait "${PID[caller]}"
  code=$?
  unset "PID[caller]"
  say "waits for batch to finish"
  for _ in {1..60}; do
    [ "$(unfinished refunds)" = 0 ] && [ "$(unfinished urgent)" = 0 ] && break
    sleep 0.5
  done
  note_not_run
  note finished
  return $code
}

# note_not_run notes which tasks of the cancelled job control says never ran.
note_not_run() {
  local index
  operate --json job show "${JOB[cancelled]}" >"$OUT/cancelled.json" || fail "job show"
  tr -d ' \n' <"$OUT/cancelled.json" | grep -o '"index":[0-9]*,"state":"cancelled_not_run"' | sed 's/"index":\([0-9]*\).*/\1/' |
    while read -r index; do note --name "${JOB[cancelled]}" --index "$index" task_not_run; done
}

report() {
  echo
  operate status
  echo
  cat "$OUT/caller.log"
  echo
  "$STANDIN" check --journals "$OUT"
}

prepare() {
  rm -rf "$OUT"
  mkdir -p "$OUT"
  BASE=$(free_base) || fail "no free ports"
  OPERATORS_OF_ALL=$(for i in {0..5}; do printf '127.0.0.1:%s,' "$(entry_port "$i" $OPERATORS)"; done)
  OPERATORS_OF_ALL=${OPERATORS_OF_ALL%,}
}

# scenario runs the system, the function load under it, and the checks.
scenario() {
  prepare
  say "starts 3 control processes and 6 entries in ${DOMAINS[*]}, ports from $BASE, files in $OUT"
  ((LINKED)) && start_link
  start_system
  say "creates two classes and a team, starts 6 upstreams and 6 workers"
  configure
  start_standins
  sleep 3
  say "loads bookings with 300 requests a second for $LOAD_SECONDS s and submits refunds"
  start_load
  load
  finish
  local answers=$?
  report
  local promises=$?
  if [ $answers -ne 0 ] || [ $promises -ne 0 ]; then fail "see the table above and $OUT"; fi
  say "every promise held"
}
