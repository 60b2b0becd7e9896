# Functions shared by the scenarios: they run processes on loopback, record events in a journal and print the report.
# shellcheck shell=bash

readonly DOMAINS=(east west north)
readonly OUT_DIR=demo/out
readonly DAISYSWITCH=bin/daisyswitch
readonly STANDIN=bin/standin
readonly EVENTS_FILE=$OUT_DIR/events.jsonl

declare -A PID_OF=() # process ids of the processes that this script started, by name
STARTED_AT=$SECONDS

print_progress() { printf '[%3d s] %s\n' $((SECONDS - STARTED_AT)) "$*"; }

fail() {
  print_progress "failed: $*"
  exit 1
}

# stop_all_processes ends only the processes that this script started, by their ids.
stop_all_processes() {
  trap '' INT TERM
  local name
  for name in "${!PID_OF[@]}"; do
    kill -TERM "${PID_OF[$name]}" 2>/dev/null
    kill -CONT "${PID_OF[$name]}" 2>/dev/null # in case it was stopped by SIGSTOP
  done
  for _ in {1..20}; do
    any_process_alive || return 0
    sleep 0.1
  done
  for name in "${!PID_OF[@]}"; do kill -KILL "${PID_OF[$name]}" 2>/dev/null; done
}

any_process_alive() {
  local name
  for name in "${!PID_OF[@]}"; do
    kill -0 "${PID_OF[$name]}" 2>/dev/null && return 0
  done
  return 1
}

trap stop_all_processes EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start_process NAME COMMAND... runs a process in the background, with its log under demo/out.
start_process() {
  local name=$1
  shift
  "$@" >>"$OUT_DIR/$name.log" 2>&1 &
  PID_OF[$name]=$!
}

record_event() { "$STANDIN" note --journal "$EVENTS_FILE" "$@" || fail "note $*"; }

# port_open PORT succeeds if the port accepts connections.
port_open() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# is_ready PORT succeeds if the process with this admin port reports ready.
is_ready() {
  local status=''
  { exec 3<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null || return 1
  printf 'GET /ready HTTP/1.0\r\n\r\n' >&3
  read -r -t 1 _ status _ <&3
  exec 3<&- 3>&-
  [ "$status" = 200 ]
}

# Each process gets a block of ten ports.
readonly PORTS_PER_PROCESS=10 PORT_BLOCKS=16
free_base_port() {
  local try base port
  for try in {1..50}; do
    base=$((10000 + (RANDOM % 120) * PORTS_PER_PROCESS * PORT_BLOCKS))
    for ((port = base; port < base + PORTS_PER_PROCESS * PORT_BLOCKS; port++)); do
      port_open "$port" && continue 2
    done
    echo "$base"
    return
  done
  return 1
}

# The ports of control process 1 to 3 and entry 0 to 5.
control_port() { echo $((BASE_PORT + ($1 - 1) * PORTS_PER_PROCESS + $2)); }
entry_port() { echo $((BASE_PORT + (3 + $1) * PORTS_PER_PROCESS + $2)); }
readonly INNER_PORT=0 ADMIN_PORT=1 CALLERS_PORT=2 PLATFORM_PORT=3 OPERATORS_PORT=4

entry_name() { echo "${DOMAINS[$(($1 / 2))]}-$(($1 % 2 + 1))"; }

upstream_admin_port() { echo $((BASE_PORT + 10 * PORTS_PER_PROCESS + $1)); }

# Scenarios that set USE_LINK to 1 connect north to the other domains through a link process, which forwards to the inner ports on both sides.
USE_LINK=0
readonly NORTH_INDEX=2
link_port() { echo $((BASE_PORT + 9 * PORTS_PER_PROCESS + $1)); }

# inner_address VIEWER OWNER PORT LINK prints the address at which a process in domain VIEWER reaches this port of a process in domain OWNER.
inner_address() {
  if ((USE_LINK && ($1 == NORTH_INDEX) != ($2 == NORTH_INDEX))); then
    echo "127.0.0.1:$(link_port "$4")"
  else
    echo "127.0.0.1:$3"
  fi
}

# print_replicas VIEWER and print_neighbors VIEWER print the control processes and entries, with their addresses as seen from domain VIEWER.
print_replicas() {
  local id
  for id in 1 2 3; do
    echo "    {\"id\": $id, \"inner\": \"$(inner_address "$1" $((id - 1)) "$(control_port $id $INNER_PORT)" $((id - 1)))\", \"domain\": \"${DOMAINS[$((id - 1))]}\"},"
  done
}

print_neighbors() {
  local i
  for i in {0..5}; do
    echo "    {\"name\": \"$(entry_name "$i")\", \"inner\": \"$(inner_address "$1" $((i / 2)) "$(entry_port "$i" $INNER_PORT)" $((3 + i)))\", \"domain\": \"${DOMAINS[$((i / 2))]}\"},"
  done
}

start_link() {
  local id i forwards=()
  for id in 1 2 3; do forwards+=(--forward "127.0.0.1:$(link_port $((id - 1)))=127.0.0.1:$(control_port $id $INNER_PORT)"); done
  for i in {0..5}; do forwards+=(--forward "127.0.0.1:$(link_port $((3 + i)))=127.0.0.1:$(entry_port "$i" $INNER_PORT)"); done
  start_process link "$STANDIN" link "${forwards[@]}" --admin "127.0.0.1:$(link_port 9)"
}

# set_mode PORT BODY changes the mode of a stand-in through its admin port.
set_mode() {
  local status=''
  exec 3<>"/dev/tcp/127.0.0.1/$1" || fail "no admin interface at port $1"
  printf 'PUT /v1/standin/mode HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' ${#2} "$2" >&3
  read -r -t 2 _ status _ <&3
  exec 3<&- 3>&-
  [ "$status" = 200 ] || fail "mode $2 was answered with status $status"
}

write_control() {
  cat >"$OUT_DIR/control-$1.json" <<SETTINGS
{
  "name": "control-$1",
  "id": $1,
  "domain": "${DOMAINS[$(($1 - 1))]}",
  "inner": "127.0.0.1:$(control_port "$1" $INNER_PORT)",
  "admin": "127.0.0.1:$(control_port "$1" $ADMIN_PORT)",
  "data": "$OUT_DIR/data-$1",
  "control": [
$(print_replicas $(($1 - 1)))
  ],
  "lease_ms": 5000, // short, so that a demo sees what follows from its end
}
SETTINGS
}

write_entry() {
  cat >"$OUT_DIR/$(entry_name "$1").json" <<SETTINGS
{
  "name": "$(entry_name "$1")",
  "domain": "${DOMAINS[$(($1 / 2))]}",
  "inner": "127.0.0.1:$(entry_port "$1" $INNER_PORT)",
  "admin": "127.0.0.1:$(entry_port "$1" $ADMIN_PORT)",
  "callers": "127.0.0.1:$(entry_port "$1" $CALLERS_PORT)",
  "platform": "127.0.0.1:$(entry_port "$1" $PLATFORM_PORT)",
  "operators": "127.0.0.1:$(entry_port "$1" $OPERATORS_PORT)",
  "control": [
$(print_replicas $(($1 / 2)))
  ],
  "entries": [
$(print_neighbors $(($1 / 2)))
  ],
  "drain_ms": 2000,
}
SETTINGS
}

start_control() { start_process "control-$1" "$DAISYSWITCH" control --settings "$OUT_DIR/control-$1.json"; }
start_entry() { start_process "$(entry_name "$1")" "$DAISYSWITCH" entry --settings "$OUT_DIR/$(entry_name "$1").json"; }

# run_operator runs an operator command against any entry.
run_operator() { "$DAISYSWITCH" --entry "$OPERATOR_ADDRESSES" --operator demo "$@"; }

# change_configuration runs a command that changes the configuration and records the accepted version.
change_configuration() {
  local answer version
  answer=$(run_operator --json "$@") || fail "$*: $answer"
  version=$(sed -n 's/.*"version": *\([0-9]*\).*/\1/p' <<<"$answer" | head -1)
  record_event --version "${version:-0}" config_accepted
}

declare -A JOB_ID=() # job ids by the names that the scenarios use

# submit_job NAME OPTIONS... submits a job and stores its id under NAME.
submit_job() {
  local name=$1 answer
  shift
  answer=$(run_operator --json job submit --team ledger "$@" 2>>"$OUT_DIR/jobs.log") || fail "submit $*: $answer"
  JOB_ID[$name]=$(sed -n 's/.*"job": *"\([^"]*\)".*/\1/p' <<<"$answer" | head -1)
}

leader_id() { run_operator --json status | sed -n 's/.*"leader": *\([0-9]*\).*/\1/p' | head -1; }

wait_ready() {
  local name=$1 port=$2
  for _ in {1..150}; do
    is_ready "$port" && return 0
    kill -0 "${PID_OF[$name]}" 2>/dev/null || fail "$name ended: $(tail -1 "$OUT_DIR/$name.log")"
    sleep 0.1
  done
  fail "$name was not ready within 15 s: $(tail -1 "$OUT_DIR/$name.log")"
}

# stop_process NAME [note options] shuts a process down gracefully and records its exit code.
stop_process() {
  local name=$1 code
  shift
  record_event --name "$name" "$@" stop_began
  kill -TERM "${PID_OF[$name]}"
  wait "${PID_OF[$name]}"
  code=$?
  unset "PID_OF[$name]"
  record_event --name "$name" --code "$code" "$@" stop_ended
  print_progress "  $name ended with code $code"
}

# kill_process NAME [note options] kills a process with SIGKILL.
kill_process() {
  local name=$1
  shift
  record_event --name "$name" "$@" killed
  kill -KILL "${PID_OF[$name]}"
  wait "${PID_OF[$name]}" 2>/dev/null
  unset "PID_OF[$name]"
}

# wait_until_load SECOND waits until SECOND seconds after the start of the load.
wait_until_load() {
  while ((SECONDS - LOAD_STARTED_AT < $1)); do sleep 0.1; done
}

count_unfinished() { run_operator --json job show "${JOB_ID[$1]}" | grep -Ec '"state": *"(queued|starting|running|stopping|checkpointed)"'; }

start_system() {
  local i id
  for id in 1 2 3; do write_control "$id"; start_control "$id"; done
  for i in {0..5}; do write_entry "$i"; start_entry "$i"; done
  for i in {0..5}; do wait_ready "$(entry_name "$i")" "$(entry_port "$i" $ADMIN_PORT)"; done
}

# platform_options I prints the options for the platform addresses of both entries in I's domain, entry I first.
platform_options() {
  local first=$(($1 / 2 * 2))
  echo "--entry 127.0.0.1:$(entry_port "$1" $PLATFORM_PORT) --entry 127.0.0.1:$(entry_port $((first + 1 - $1 % 2)) $PLATFORM_PORT)"
}

start_upstream() {
  # shellcheck disable=SC2046 # the options are words
  start_process "upstream-$1" "$STANDIN" upstream --name "upstream-$1" --domain "${DOMAINS[$(($1 / 2))]}" $(platform_options "$1") \
    --class bookings --seed "$1" --admin "127.0.0.1:$(upstream_admin_port "$1")" --journal "$OUT_DIR/upstream-$1.jsonl"
}

start_worker() {
  local domain=${DOMAINS[$(($1 / 2))]}
  # shellcheck disable=SC2046 # the options are words
  start_process "worker-$1" "$STANDIN" worker --name "worker-$1" --domain "$domain" --rack "$domain-rack" $(platform_options "$1") \
    --cpu 8 --memory-gib 32 --journal "$OUT_DIR/worker-$1.jsonl"
}

start_standins() {
  local i watched_entries=()
  for i in {0..5}; do
    start_upstream "$i"
    start_worker "$i"
    watched_entries+=(--entry "$(entry_name "$i")=127.0.0.1:$(entry_port "$i" $OPERATORS_PORT)")
  done
  start_process watch "$STANDIN" watch --journal "$OUT_DIR/events-watch.jsonl" "${watched_entries[@]}"
}

start_load() {
  local i entries=()
  for i in {0..5}; do
    entries+=(--entry "127.0.0.1:$(entry_port "$i" $CALLERS_PORT)" --ready "127.0.0.1:$(entry_port "$i" $ADMIN_PORT)")
  done
  start_process caller "$STANDIN" caller --class bookings "${entries[@]}" --rate 300 --duration ${LOAD_SECONDS}s --post-share 0.4 --journal "$OUT_DIR/caller-1.jsonl"
  LOAD_STARTED_AT=$SECONDS
}

create_configuration() {
  change_configuration class put bookings --kind service --target-p99 50ms
  change_configuration class put refunds --kind batch --volume 1000 --due 23:00
  change_configuration team put ledger --cpu 100 --memory-gib 400 --accelerators 0
}

finish_run() {
  local code
  print_progress "waiting for the end of the load"
  wait "${PID_OF[caller]}"
  code=$?
  unset "PID_OF[caller]"
  print_progress "waiting for the batch jobs to finish"
  for _ in {1..60}; do
    [ "$(count_unfinished refunds)" = 0 ] && [ "$(count_unfinished urgent)" = 0 ] && break
    sleep 0.5
  done
  record_tasks_not_run
  record_event finished
  return $code
}

# record_tasks_not_run records the tasks of the cancelled job that control reports as never run.
record_tasks_not_run() {
  local index
  run_operator --json job show "${JOB_ID[cancelled]}" >"$OUT_DIR/cancelled.json" || fail "job show"
  tr -d ' \n' <"$OUT_DIR/cancelled.json" | grep -o '"index":[0-9]*,"state":"cancelled_not_run"' | sed 's/"index":\([0-9]*\).*/\1/' |
    while read -r index; do record_event --name "${JOB_ID[cancelled]}" --index "$index" task_not_run; done
}

print_report() {
  echo
  run_operator status
  echo
  cat "$OUT_DIR/caller.log"
  echo
  "$STANDIN" check --journals "$OUT_DIR"
}

prepare_run() {
  rm -rf "$OUT_DIR"
  mkdir -p "$OUT_DIR"
  BASE_PORT=$(free_base_port) || fail "no free ports"
  OPERATOR_ADDRESSES=$(for i in {0..5}; do printf '127.0.0.1:%s,' "$(entry_port "$i" $OPERATORS_PORT)"; done)
  OPERATOR_ADDRESSES=${OPERATOR_ADDRESSES%,}
}

# run_scenario starts the system and the load, calls run_steps of the scenario, and runs the checks.
run_scenario() {
  prepare_run
  print_progress "starts 3 control processes and 6 entries in ${DOMAINS[*]}, ports from $BASE_PORT, files in $OUT_DIR"
  ((USE_LINK)) && start_link
  start_system
  print_progress "creates two classes and a team, starts 6 upstreams and 6 workers"
  create_configuration
  start_standins
  sleep 3
  print_progress "sends 300 requests a second to bookings for $LOAD_SECONDS s and submits refunds"
  start_load
  run_steps
  finish_run
  local caller_code=$?
  print_report
  local check_code=$?
  if [ $caller_code -ne 0 ] || [ $check_code -ne 0 ]; then fail "see the table above and $OUT_DIR"; fi
  print_progress "all promises held"
}
