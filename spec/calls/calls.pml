/*
 * Model of the orders to one called worker that crashes and starts again under its id, with one change of leader.
 * Task FORMER is committed to the first incarnation, task LATER to the second. A task that is freed runs on another worker from that moment on.
 * An order names the worker's id only. It may be lost, executed late or executed after newer orders, once. Its answer arrives at once or never.
 * Time passes in ticks. Clocks of one rate are assumed; the lengths in the code include the drift.
 * Assumed, since the protocol does not bound it: an incarnation that has executed no order meant for it executes an order
 * meant for its predecessor only if it was sent after the predecessor ended and at most CALL_LIMIT before.
 * Assumed: a start is repeated, or followed by a stop, only once it is answered or CALL_LIMIT has passed. A deposed leader sends nothing.
 * Checked: no task runs at two places at a time, and the worker forgets no end that is not committed.
 * Not checked: the ends that the second incarnation forgets before it has executed an order meant for it.
 */
#define LEASE 2                        /* ticks that a leader grants */
#define MAX_LEASE 3                    /* ticks to which the worker shortens a lease */
#define CALL_LIMIT 1                   /* ticks after which a call is given up */
#define LATE (CALL_LIMIT + 1)          /* age from which an order is late */
#define FORMER 0                       /* tasks */
#define LATER 1
#define WAITING 0                      /* values of place */
#define WORKER 1
#define OTHER 2
#define DONE 3
#define STARTING 0                     /* values of phase */
#define STARTED 1
#define STOPPING 2
#define STOPPED 3
#define NONE 2                         /* no open hold */
#define FORMER_ENDS 1                  /* committed ends of the first incarnation */

/* committed state */
bool announced;                        /* the second incarnation is known */
byte place[2];
byte committed_ends;                   /* of the second incarnation */

/* the leader */
byte term = 1;
bool heard = true;                     /* the last hold was answered */
bool answered = true;                  /* a hold of this leader and incarnation was answered */
bool restarted;                        /* a later incarnation that is not announced has answered */
byte own;                              /* ticks left of the leader's own grants */
byte bound;                            /* ticks left of leases that others may have granted */
byte reach;                            /* ticks left of the lease that an incarnation which was never heard may have */
byte phase[2];
bool confirmed[2];                     /* the incarnation is known to have accepted the run */
byte call_left[2];                     /* ticks left until a start without an answer is given up */
byte open = NONE;                      /* hold whose answer is awaited */
bool asked_after_stop[2];              /* the open hold was sent after the task's stop was accepted */

/* the worker */
byte incarnation = 1;
byte seen_fence;
byte lease;
bool obeys;                            /* the second incarnation has executed an order meant for it */
bool running[2];
bool barred[2];
byte end_number[2];                    /* number of the task's end, 0 for none */
bool was_done[2];
byte ends;

/* orders in flight: a start by task and term, and holds */
#define START_SLOT(task) ((task) * 2 + term - 1)
bool start_sent[4];
byte start_left[4];                    /* ticks left of the granted lease */
byte start_age[4];
#define HOLD_SLOT ((term + announced) % 2)
bool hold_sent[2];
byte hold_to[2];                       /* incarnation it is meant for */
byte hold_term[2];
bool hold_grants[2];                   /* it carries a deadline */
byte hold_left[2];
byte hold_age[2];
byte hold_noted[2];

byte given, token, t;                  /* scratch */

#define PRESENT (announced + 1)        /* incarnation that the leader addresses */
#define KNOWS_FORMER announced
#define FENCE(a_term, a_incarnation) (a_term + a_incarnation - 1)
#define NO_ANSWER_BOUND (CALL_LIMIT + MAX_LEASE)

inline free(task) {
	assert(!running[task]);
	place[task] = OTHER; phase[task] = STARTING; confirmed[task] = false; call_left[task] = 0
}

inline begin_link() {
	heard = false; answered = false; restarted = false; own = 0;
	bound = NO_ANSWER_BOUND; reach = NO_ANSWER_BOUND; open = NONE;
	asked_after_stop[FORMER] = false; asked_after_stop[LATER] = false;
	confirmed[FORMER] = false; confirmed[LATER] = false;
	phase[LATER] = STARTING; phase[FORMER] = STARTING;
	if
	:: announced && place[FORMER] == WORKER -> phase[FORMER] = STOPPING
	:: else
	fi
}

inline record_restart() {
	heard = false;
	if
	:: !restarted -> restarted = true; if :: bound < NO_ANSWER_BOUND -> bound = NO_ANSWER_BOUND :: else fi
	:: else
	fi
}

inline send_start(task) {
	start_sent[START_SLOT(task)] = true; start_left[START_SLOT(task)] = own; start_age[START_SLOT(task)] = 0;
	call_left[task] = LATE; reach = NO_ANSWER_BOUND
}

inline send_hold(slot) {
	hold_sent[slot] = true; hold_to[slot] = PRESENT; hold_term[slot] = term; hold_age[slot] = 0;
	hold_grants[slot] = heard; hold_left[slot] = 0; hold_noted[slot] = 0; open = slot;
	asked_after_stop[FORMER] = (phase[FORMER] == STOPPED); asked_after_stop[LATER] = (phase[LATER] == STOPPED);
	if
	:: heard ->
		if :: own == 0 && !KNOWS_FORMER -> bound = 0 :: else fi;
		own = LEASE; hold_left[slot] = LEASE; reach = NO_ANSWER_BOUND;
		hold_noted[slot] = (announced -> committed_ends : FORMER_ENDS)
	:: else
	fi
}

inline drop_start(slot) {
	start_sent[slot] = false; start_left[slot] = 0; start_age[slot] = 0
}

inline drop_hold(slot) {
	hold_sent[slot] = false; hold_to[slot] = 0; hold_term[slot] = 0; hold_grants[slot] = false; hold_left[slot] = 0; hold_age[slot] = 0; hold_noted[slot] = 0
}

inline end_run(task, as_done) {
	running[task] = false; ends++; end_number[task] = ends; was_done[task] = as_done
}

inline prolong(to, left) {
	given = (to == incarnation -> left : MAX_LEASE);
	if :: lease < given -> lease = given :: else fi;
	given = 0
}

inline answer_start(task, slot) {
	if
	:: true
	:: slot == START_SLOT(task) && call_left[task] > 0 && place[task] == WORKER && phase[task] == STARTING && PRESENT == task + 1 ->
		if
		:: !running[task] -> phase[task] = STOPPING; call_left[task] = 0
		:: running[task] && incarnation == task + 1 -> phase[task] = STARTED; confirmed[task] = true; call_left[task] = 0
		:: running[task] && incarnation != task + 1 -> record_restart(); call_left[task] = 0
		:: running[task] && incarnation != task + 1 -> phase[task] = STARTED; call_left[task] = 0
		fi
	fi
}

/* Starts of FORMER are meant for incarnation 1, those of LATER for incarnation 2. */
inline execute_start(task, slot) {
	token = FENCE(slot - task * 2 + 1, task + 1);
	if
	:: token < seen_fence || (incarnation == task + 1 && start_left[slot] == 0) -> skip
	:: else ->
		seen_fence = token;
		if :: task == LATER -> obeys = true :: else fi;
		prolong(task + 1, start_left[slot]);
		if
		:: !running[task] && !barred[task] && end_number[task] == 0 -> assert(place[task] != OTHER); running[task] = true
		:: else
		fi;
		answer_start(task, slot)
	fi;
	token = 0;
	drop_start(slot)
}

inline apply_listing(task) {
	if
	:: place[task] != WORKER -> skip
	:: place[task] == WORKER && running[task] ->
		confirmed[task] = true;
		if :: phase[task] == STARTING -> phase[task] = STARTED; call_left[task] = 0 :: else fi
	:: place[task] == WORKER && !running[task] && end_number[task] > 0 ->
		if
		:: was_done[task] -> place[task] = DONE; phase[task] = STARTING; confirmed[task] = false; call_left[task] = 0
		:: else -> free(task)
		fi
	:: else ->
		if
		:: phase[task] == STOPPED && asked_after_stop[task] -> free(task)
		:: phase[task] == STARTED -> phase[task] = STOPPING
		:: else
		fi
	fi
}

inline answer_hold() {
	if
	:: incarnation == PRESENT ->
		if :: !answered && KNOWS_FORMER -> bound = MAX_LEASE :: else fi;
		answered = true; heard = true; restarted = false;
		apply_listing(FORMER); apply_listing(LATER);
		if :: incarnation == 2 -> committed_ends = ends :: else fi
	:: else -> record_restart()
	fi;
	open = NONE
}

/* A run that has ended is barred, also once its end is forgotten. */
inline forget(task, number) {
	if
	:: incarnation == 2 && end_number[task] > 0 && end_number[task] <= number ->
		assert(!obeys || end_number[task] <= committed_ends);
		barred[task] = true; end_number[task] = 0; was_done[task] = false
	:: else
	fi
}

inline execute_hold(slot) {
	token = FENCE(hold_term[slot], hold_to[slot]);
	if
	:: token < seen_fence -> skip
	:: else ->
		seen_fence = token;
		if :: hold_to[slot] == 2 -> obeys = true :: else fi;
		if :: hold_grants[slot] -> prolong(hold_to[slot], hold_left[slot]) :: else fi;
		forget(FORMER, hold_noted[slot]); forget(LATER, hold_noted[slot]);
		if
		:: true
		:: open == slot -> answer_hold()
		fi
	fi;
	token = 0;
	if :: open == slot -> heard = false; open = NONE :: else fi;
	drop_hold(slot)
}

inline accept_stop(task) {
	token = FENCE(term, PRESENT);
	if
	:: token < seen_fence -> skip
	:: else ->
		seen_fence = token; barred[task] = true;
		if :: announced -> obeys = true :: else fi;
		if :: true :: phase[task] = STOPPED fi
	fi;
	token = 0
}

/* orders that were sent before the crash */
inline make_late() {
	start_age[0] = (start_sent[0] -> LATE : 0); start_age[1] = (start_sent[1] -> LATE : 0);
	hold_age[0] = (hold_sent[0] -> LATE : 0); hold_age[1] = (hold_sent[1] -> LATE : 0)
}

inline crash() {
	incarnation = 2; seen_fence = 0; lease = 0; ends = 0;
	running[FORMER] = false; barred[FORMER] = false; end_number[FORMER] = 0; was_done[FORMER] = false;
	make_late()
}

#define COUNT_DOWN(left) if :: left > 0 -> left-- :: else fi
#define COUNT_AGE(age) if :: age < LATE -> age++ :: else fi

inline tick() {
	COUNT_DOWN(own); COUNT_DOWN(bound); COUNT_DOWN(reach); COUNT_DOWN(call_left[FORMER]); COUNT_DOWN(call_left[LATER]);
	t = 0;
	do
	:: t < 4 && start_sent[t] ->
		COUNT_DOWN(start_left[t]);
		if
		:: t < 2 -> COUNT_AGE(start_age[t])
		:: t >= 2 && start_left[t] == 0 -> drop_start(t)
		:: else
		fi;
		t++
	:: t < 4 && !start_sent[t] -> t++
	:: t == 4 -> break
	od;
	t = 0;
	do
	:: t < 2 && hold_sent[t] ->
		COUNT_DOWN(hold_left[t]); COUNT_AGE(hold_age[t]);
		if
		:: open != t && hold_left[t] == 0 && (hold_to[t] == incarnation || hold_age[t] == LATE) -> drop_hold(t)
		:: else
		fi;
		t++
	:: t < 2 && !hold_sent[t] -> t++
	:: t == 2 -> break
	od;
	t = 0;
	if
	:: lease == 1 ->
		lease = 0;
		if :: running[FORMER] -> end_run(FORMER, false) :: else fi;
		if :: running[LATER] -> end_run(LATER, false) :: else fi
	:: lease > 1 -> lease--
	:: else
	fi
}

#define MAY_EXECUTE(to, age) (incarnation >= to && (incarnation == to || age < LATE || obeys))
#define LAPSED (!heard && own == 0 && bound == 0)

active proctype system() {
	atomic { place[FORMER] = WORKER };
	do
	:: d_step { tick() }
	/* the leader */
	:: d_step { place[FORMER] == WORKER && phase[FORMER] == STARTING && !announced && heard && own > 0 && call_left[FORMER] == 0 -> send_start(FORMER) }
	:: d_step { place[LATER] == WORKER && phase[LATER] == STARTING && heard && own > 0 && call_left[LATER] == 0 -> send_start(LATER) }
	:: d_step { open == NONE && HOLD_SLOT == 0 -> send_hold(0) }
	:: d_step { open == NONE && HOLD_SLOT == 1 -> send_hold(1) }
	:: d_step { open != NONE -> open = NONE; heard = false }
	:: d_step { place[FORMER] == WORKER && phase[FORMER] < STOPPING && call_left[FORMER] == 0 -> phase[FORMER] = STOPPING }
	:: d_step { place[LATER] == WORKER && phase[LATER] < STOPPING && call_left[LATER] == 0 -> phase[LATER] = STOPPING }
	:: atomic { place[FORMER] == WORKER && phase[FORMER] == STOPPING -> accept_stop(FORMER) }
	:: atomic { place[LATER] == WORKER && phase[LATER] == STOPPING -> accept_stop(LATER) }
	:: d_step { place[FORMER] == WORKER && LAPSED && (confirmed[FORMER] || reach == 0) -> free(FORMER) }
	:: d_step { place[LATER] == WORKER && LAPSED && (confirmed[LATER] || reach == 0) -> free(LATER) }
	:: d_step { place[LATER] == WAITING && announced && heard && own > 0 -> place[LATER] = WORKER; phase[LATER] = STARTING }
	:: d_step { incarnation == 2 && !announced -> announced = true; begin_link() }
	:: d_step { term == 1 -> term = 2; begin_link(); call_left[FORMER] = 0; call_left[LATER] = 0 }
	/* the worker and the network */
	:: atomic { start_sent[0] && MAY_EXECUTE(1, start_age[0]) -> execute_start(FORMER, 0) }
	:: atomic { start_sent[1] && MAY_EXECUTE(1, start_age[1]) -> execute_start(FORMER, 1) }
	:: atomic { start_sent[2] && MAY_EXECUTE(2, start_age[2]) -> execute_start(LATER, 2) }
	:: atomic { start_sent[3] && MAY_EXECUTE(2, start_age[3]) -> execute_start(LATER, 3) }
	:: atomic { hold_sent[0] && MAY_EXECUTE(hold_to[0], hold_age[0]) -> execute_hold(0) }
	:: atomic { hold_sent[1] && MAY_EXECUTE(hold_to[1], hold_age[1]) -> execute_hold(1) }
	:: atomic { running[FORMER] -> if :: end_run(FORMER, true) :: end_run(FORMER, false) fi }
	:: atomic { running[LATER] -> if :: end_run(LATER, true) :: end_run(LATER, false) fi }
	:: d_step { incarnation == 1 -> crash() }
	od
}
