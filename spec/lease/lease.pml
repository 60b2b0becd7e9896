/*
 * One task, a worker, others that may take the task over, a leader that may change, a failure domain that may go out.
 * What is committed to another worker is taken to execute there from that moment on.
 * The network delivers any report that was ever sent, any number of times, in any order, or never;
 * an answer arrives while its poll is open, or never. The worker's clock may lose D ticks in a lease.
 * Checked: the task never executes twice at once, no attempt starts twice,
 * and nothing starts more than P ticks, and what the clock lost, after the domain went out.
 */
#define L 2              /* lease, in ticks of the worker, from when it sent the report */
#define D 1              /* ticks that a worker's clock may lose in that time */
#define SPAN (L + D)     /* lease, in ticks of the leader, from when it answered */
#define P 1              /* a poll is given up after this many ticks of the worker */
#define CLOSED (P + 1)   /* age of a poll that takes no answer any more */
#define POLLS 4          /* reports of the first worker; the second sends one fewer */
#define ATTEMPTS 2
#define NOBODY 0         /* holders */
#define WORKER 1
#define OTHER 2
#define NONE 0           /* orders */
#define LEASE 1
#define START 2
#define STOP 3

/* committed state */
byte attempt;
byte holder = NOBODY;
bool seen;               /* the attempt was reported as running */
bool stopping;
bool out;                /* the domain of the worker */
byte out_for;            /* ticks since */
bool outs;               /* it was out before */

/* the leader's lease table */
byte end;                /* ticks left of the holder's lease */
byte last;               /* sequence of the last report */
bool inherited;          /* the attempt may have been sent by an earlier leader */
bool sent;
byte sent_at;            /* sequence of the report that the start answered */
bool withheld;

/* the worker */
byte exec;               /* attempt that executes, 0 for none */
byte fenced;             /* attempt that ended, or was stopped before it was seen */
byte lease;              /* ticks left */
byte slow_lease;         /* ticks that the clock lost since the poll of the lease was sent */
byte poll;               /* sequence of the poll in progress */
byte age = CLOSED;       /* its age by the worker's clock */
byte slow_poll;          /* ticks that the clock lost since it was sent */
byte started;            /* highest attempt that ever started */

/* network */
byte said_exec[POLLS];   /* content of each report */
byte said_fenced[POLLS];
byte order;              /* answer on its way to the open poll */
byte which;   

#define AT(s) (s - 1)

inline halt() {
	if
	:: exec != 0 -> fenced = exec; exec = 0
	:: else
	fi
}

inline requeue() {
	holder = NOBODY; end = 0; seen = false; stopping = false; inherited = false; sent = false; sent_at = 0; withheld = false
}

inline close() {
	age = CLOSED; slow_poll = 0; order = NONE; which = 0
}

inline send() {
	poll++; age = 0; slow_poll = 0; order = NONE; which = 0;
	said_exec[AT(poll)] = exec; said_fenced[AT(poll)] = fenced
}

inline worker_tick() {
	if
	:: slow_lease < D && slow_poll < D ->
		if :: lease > 0 -> slow_lease++ :: else fi;
		if :: age < CLOSED -> slow_poll++ :: else fi
	:: true ->
		if :: age < CLOSED -> age++ :: else fi;
		if :: age == CLOSED -> close() :: else fi;
		if :: lease > 0 -> lease-- :: else fi;
		if :: lease == 0 -> halt(); slow_lease = 0 :: else fi
	fi
}

inline tick() {
	worker_tick();
	if :: end > 0 -> end-- :: else fi;
	if :: out && out_for <= P + D -> out_for++ :: else fi
}

/* what a report says of the attempt that the state holds on its worker */
inline receive(s) {
	if
	:: holder != WORKER -> skip
	:: holder == WORKER && said_exec[AT(s)] == attempt -> seen = true
	:: holder == WORKER && said_fenced[AT(s)] == attempt -> requeue()
	:: else ->
		if
		:: !inherited && (!sent || s > sent_at) && !seen && (stopping || withheld) -> requeue()
		:: else
		fi
	fi
}

inline reply(s, o, a) {
	if
	:: s == poll && age < CLOSED -> order = o; which = a
	:: true
	fi
}

inline answer(s) {
	if :: holder == WORKER -> end = SPAN :: else fi;
	if
	:: said_exec[AT(s)] != 0 && (holder != WORKER || said_exec[AT(s)] != attempt || stopping) -> reply(s, STOP, said_exec[AT(s)])
	:: said_exec[AT(s)] != 0 && holder == WORKER && said_exec[AT(s)] == attempt && !stopping -> reply(s, LEASE, 0)
	:: said_exec[AT(s)] == 0 && holder != WORKER -> reply(s, LEASE, 0)
	:: said_exec[AT(s)] == 0 && holder == WORKER ->
		if
		:: !seen && !stopping && !out -> sent = true; sent_at = s; withheld = false; reply(s, START, attempt)
		:: !seen && !stopping && out -> withheld = true; if :: inherited -> reply(s, STOP, attempt) :: else -> reply(s, LEASE, 0) fi
		:: else -> if :: inherited || seen -> reply(s, STOP, attempt) :: else -> reply(s, LEASE, 0) fi
		fi
	fi
}

inline deliver(s) {
	if
	:: s >= last -> last = s; receive(s); answer(s)
	:: else
	fi
}

inline obey() {
	slow_lease = slow_poll;
	lease = L - age;
	if
	:: order == STOP && exec == which -> halt()
	:: order == STOP && exec != which && fenced < which -> fenced = which
	:: order == START && exec != which && fenced < which ->
		assert(exec == 0 && holder != OTHER);
		assert(which > started);
		assert(!out || out_for <= P + D);
		exec = which; started = which
	:: else
	fi;
	close()
}

active proctype system() {
	do
	:: atomic { tick() }
	:: atomic { poll < POLLS -> send() }
	:: atomic { order != NONE -> obey() }
	/* the leader: the events of a report are committed before it is answered */
	:: atomic { poll >= 1 -> deliver(1) }
	:: atomic { poll >= 2 -> deliver(2) }
	:: atomic { poll >= 3 -> deliver(3) }
	:: atomic { poll >= 4 -> deliver(4) }
	:: atomic { holder == WORKER && end == 0 -> requeue() }
	:: atomic { holder == NOBODY && attempt < ATTEMPTS && !out -> attempt++; holder = WORKER }
	:: atomic { holder == NOBODY && 0 < attempt && attempt < ATTEMPTS -> assert(exec == 0); attempt++; holder = OTHER }
	:: atomic { holder == WORKER && !stopping -> stopping = true }
	/* another leader */
	:: atomic { if :: holder == WORKER -> end = SPAN :: else fi;
		last = 0; inherited = (holder == WORKER); sent = false; sent_at = 0; withheld = false }
	/* operators */
	:: atomic { !out && !outs -> out = true; outs = true; out_for = 0 }
	:: atomic { out -> out = false; out_for = 0 }
	od
}
