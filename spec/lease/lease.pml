/*
 * Model of the lease protocol: one task, one worker, other workers that the task may be assigned to, leader changes,
 * and a failure domain that may be taken out.
 * A task that is committed to another worker is assumed to run there from that moment on.
 * The network may lose, duplicate, delay and reorder reports. An answer arrives while its poll is open, or never.
 * The worker's clock may lose MAX_DRIFT ticks during a lease.
 * Checked: the task never runs twice at the same time, no attempt starts twice,
 * and no attempt starts later than POLL_TICKS plus the clock's drift after the domain was taken out.
 */
#define LEASE_TICKS 2                                 /* lease in ticks of the worker, counted from when it sent the report */
#define MAX_DRIFT 1                                   /* ticks that a worker's clock may lose during a lease */
#define LEADER_LEASE_TICKS (LEASE_TICKS + MAX_DRIFT)  /* lease in ticks of the leader, counted from when it answered */
#define POLL_TICKS 1                                  /* poll time-out in ticks of the worker */
#define POLL_CLOSED (POLL_TICKS + 1)                  /* age from which a poll accepts no answer */
#define POLLS 4                                       /* maximum number of reports */
#define ATTEMPTS 2
#define NOBODY 0                                      /* values of holder */
#define WORKER 1
#define OTHER 2
#define NO_ORDER 0                                    /* values of order */
#define LEASE 1
#define START 2
#define STOP 3

/* committed state */
byte attempt;
byte holder = NOBODY;
bool seen_running;  /* the worker has reported the attempt as running */
bool stopping;
bool domain_out;    /* the worker's domain is out */
byte out_ticks;     /* ticks since the domain was taken out */
bool was_out;       /* the domain has been out before; it goes out at most once */

/* the leader's lease table */
byte holder_lease;   /* ticks left of the holder's lease, by the leader's clock */
byte last_report;    /* sequence number of the last report */
bool inherited;      /* an earlier leader may have sent the start of the attempt */
bool start_sent;
byte start_sent_at;  /* sequence number of the report that the start answered */
bool start_withheld;

/* the worker */
byte running;                 /* attempt that is running, 0 for none */
byte fenced;                  /* attempt that ended, or was stopped before it arrived; it must not start */
byte worker_lease;            /* ticks left of the lease, by the worker's clock */
byte lease_drift;             /* ticks that the clock lost since the poll that gave the lease was sent */
byte poll;                    /* sequence number of the current poll */
byte poll_age = POLL_CLOSED;  /* age of the current poll by the worker's clock */
byte poll_drift;              /* ticks that the clock lost since the current poll was sent */
byte started;                 /* highest attempt that has started */

/* network */
byte reported_running[POLLS];  /* content of each report */
byte reported_fenced[POLLS];
byte order;                    /* answer in flight to the open poll */
byte order_attempt;

#define REPORT_SLOT(s) (s - 1)

inline stop_attempt() {
	if
	:: running != 0 -> fenced = running; running = 0
	:: else
	fi
}

inline requeue() {
	holder = NOBODY; holder_lease = 0; seen_running = false; stopping = false; inherited = false; start_sent = false; start_sent_at = 0; start_withheld = false
}

inline close_poll() {
	poll_age = POLL_CLOSED; poll_drift = 0; order = NO_ORDER; order_attempt = 0
}

inline send_report() {
	poll++; poll_age = 0; poll_drift = 0; order = NO_ORDER; order_attempt = 0;
	reported_running[REPORT_SLOT(poll)] = running; reported_fenced[REPORT_SLOT(poll)] = fenced
}

inline worker_tick() {
	if
	:: lease_drift < MAX_DRIFT && poll_drift < MAX_DRIFT ->
		if :: worker_lease > 0 -> lease_drift++ :: else fi;
		if :: poll_age < POLL_CLOSED -> poll_drift++ :: else fi
	:: true ->
		if :: poll_age < POLL_CLOSED -> poll_age++ :: else fi;
		if :: poll_age == POLL_CLOSED -> close_poll() :: else fi;
		if :: worker_lease > 0 -> worker_lease-- :: else fi;
		if :: worker_lease == 0 -> stop_attempt(); lease_drift = 0 :: else fi
	fi
}

inline tick() {
	worker_tick();
	if :: holder_lease > 0 -> holder_lease-- :: else fi;
	if :: domain_out && out_ticks <= POLL_TICKS + MAX_DRIFT -> out_ticks++ :: else fi
}

/* applies a report to the attempt that is committed to its worker */
inline apply_report(s) {
	if
	:: holder != WORKER -> skip
	:: holder == WORKER && reported_running[REPORT_SLOT(s)] == attempt -> seen_running = true
	:: holder == WORKER && reported_fenced[REPORT_SLOT(s)] == attempt -> requeue()
	:: else ->
		if
		:: !inherited && (!start_sent || s > start_sent_at) && !seen_running && (stopping || start_withheld) -> requeue()
		:: else
		fi
	fi
}

inline send_answer(s, new_order, new_attempt) {
	if
	:: s == poll && poll_age < POLL_CLOSED -> order = new_order; order_attempt = new_attempt
	:: true
	fi
}

inline answer_report(s) {
	if :: holder == WORKER -> holder_lease = LEADER_LEASE_TICKS :: else fi;
	if
	:: reported_running[REPORT_SLOT(s)] != 0 && (holder != WORKER || reported_running[REPORT_SLOT(s)] != attempt || stopping) -> send_answer(s, STOP, reported_running[REPORT_SLOT(s)])
	:: reported_running[REPORT_SLOT(s)] != 0 && holder == WORKER && reported_running[REPORT_SLOT(s)] == attempt && !stopping -> send_answer(s, LEASE, 0)
	:: reported_running[REPORT_SLOT(s)] == 0 && holder != WORKER -> send_answer(s, LEASE, 0)
	:: reported_running[REPORT_SLOT(s)] == 0 && holder == WORKER ->
		if
		:: !seen_running && !stopping && !domain_out -> start_sent = true; start_sent_at = s; start_withheld = false; send_answer(s, START, attempt)
		:: !seen_running && !stopping && domain_out -> start_withheld = true; if :: inherited -> send_answer(s, STOP, attempt) :: else -> send_answer(s, LEASE, 0) fi
		:: else -> if :: inherited || seen_running -> send_answer(s, STOP, attempt) :: else -> send_answer(s, LEASE, 0) fi
		fi
	fi
}

inline deliver_report(s) {
	if
	:: s >= last_report -> last_report = s; apply_report(s); answer_report(s)
	:: else
	fi
}

inline receive_answer() {
	lease_drift = poll_drift;
	worker_lease = LEASE_TICKS - poll_age;
	if
	:: order == STOP && running == order_attempt -> stop_attempt()
	:: order == STOP && running != order_attempt && fenced < order_attempt -> fenced = order_attempt
	:: order == START && running != order_attempt && fenced < order_attempt ->
		assert(running == 0 && holder != OTHER);
		assert(order_attempt > started);
		assert(!domain_out || out_ticks <= POLL_TICKS + MAX_DRIFT);
		running = order_attempt; started = order_attempt
	:: else
	fi;
	close_poll()
}

active proctype system() {
	do
	:: atomic { tick() }
	:: atomic { poll < POLLS -> send_report() }
	:: atomic { order != NO_ORDER -> receive_answer() }
	/* the leader commits a report's events before it answers the report */
	:: atomic { poll >= 1 -> deliver_report(1) }
	:: atomic { poll >= 2 -> deliver_report(2) }
	:: atomic { poll >= 3 -> deliver_report(3) }
	:: atomic { poll >= 4 -> deliver_report(4) }
	:: atomic { holder == WORKER && holder_lease == 0 -> requeue() }
	:: atomic { holder == NOBODY && attempt < ATTEMPTS && !domain_out -> attempt++; holder = WORKER }
	:: atomic { holder == NOBODY && 0 < attempt && attempt < ATTEMPTS -> assert(running == 0); attempt++; holder = OTHER }
	:: atomic { holder == WORKER && !stopping -> stopping = true }
	/* change of leader */
	:: atomic { if :: holder == WORKER -> holder_lease = LEADER_LEASE_TICKS :: else fi;
		last_report = 0; inherited = (holder == WORKER); start_sent = false; start_sent_at = 0; start_withheld = false }
	/* operators */
	:: atomic { !domain_out && !was_out -> domain_out = true; was_out = true; out_ticks = 0 }
	:: atomic { domain_out -> domain_out = false; out_ticks = 0 }
	od
}
