/*
 * Election, log and recovery of a lost disk, for three replicas.
 * A message that carries no promise is read from its sender's state; votes and acknowledgements, which are promises,
 * stay in flight for ever, so that they may arrive late, twice, or after the disk behind them is gone.
 */
#define N 3
#define TERMS 4   /* highest term */
#define LENGTH 4  /* entries in a log */
#define LOSSES 2  /* disks that are lost, never two at a time */
#ifndef RECOVERED
#define RECOVERED skip
#endif

#define PAIR(from, to) ((from) * N + (to))
#define ENTRY(replica, index) ((replica) * (LENGTH + 1) + (index))

byte term[N], voted[N], last[N], commit[N], disk[N], awaited[N];
bool candidate[N], leader[N], recovering[N];
byte log[N * (LENGTH + 1)];            /* term of each entry, from index 1 */
byte vote[N * N];                      /* term of the vote in flight */
byte ack_term[N * N], ack_index[N * N], ack_disk[N * N];
bool ack_recovering[N * N];
byte known_disk[N * N], barrier[N * N]; /* a leader's view of the others, PAIR(other, leader) */
byte losses = LOSSES;

/* What the checks remember. */
byte leader_of[TERMS + 1];
byte chosen[LENGTH + 1], chosen_in[LENGTH + 1]; /* term of each committed entry, and term in which it was committed */
byte chosen_last;

byte k, m;

/* What was sent to a replica dies with its process, and is dead once it neither runs for nor leads a term; clearing it keeps the state space small. */
inline forget(i) {
	k = 0;
	do
	:: k < N ->
		vote[PAIR(k, i)] = 0;
		ack_term[PAIR(k, i)] = 0; ack_index[PAIR(k, i)] = 0; ack_disk[PAIR(k, i)] = 0; ack_recovering[PAIR(k, i)] = false;
		known_disk[PAIR(k, i)] = 0; barrier[PAIR(k, i)] = 0;
		k++
	:: else -> break
	od;
	k = 0
}

inline append_entry(i) {
	last[i]++;
	log[ENTRY(i, last[i])] = term[i]
}

/* A leader that no quorum answers steps down and may run again. */
inline campaign(i) {
	forget(i);
	term[i]++;
	voted[i] = i + 1;
	candidate[i] = true;
	leader[i] = false
}

inline grant(j, i) {
	if
	:: term[j] < term[i] -> leader[j] = false; candidate[j] = false; forget(j)
	:: else
	fi;
	term[j] = term[i];
	voted[j] = i + 1;
	vote[PAIR(j, i)] = term[i]
}

inline lead(i) {
	assert(leader_of[term[i]] == 0);
	leader_of[term[i]] = i + 1;
	k = 1;
	do
	:: k <= chosen_last -> assert(chosen_in[k] > term[i] || (last[i] >= k && log[ENTRY(i, k)] == chosen[k])); k++
	:: else -> break
	od;
	candidate[i] = false;
	leader[i] = true;
	forget(i);
	append_entry(i)
}

inline replicate(i, j) {
	if
	:: term[j] < term[i] -> term[j] = term[i]; voted[j] = 0
	:: else
	fi;
	if
	:: recovering[j] -> voted[j] = i + 1
	:: else
	fi;
	leader[j] = false;
	candidate[j] = false;
	forget(j);
	last[j] = last[i];
	k = 1;
	do
	:: k <= LENGTH -> log[ENTRY(j, k)] = log[ENTRY(i, k)]; k++
	:: else -> break
	od;
	k = 0;
	if
	:: commit[j] < commit[i] -> commit[j] = commit[i]
	:: else
	fi;
	if
	:: recovering[j] && awaited[j] != 0 && commit[j] >= awaited[j] -> recovering[j] = false; awaited[j] = 0; RECOVERED
	:: else
	fi;
	ack_term[PAIR(j, i)] = term[i];
	ack_index[PAIR(j, i)] = last[j];
	ack_disk[PAIR(j, i)] = disk[j];
	ack_recovering[PAIR(j, i)] = recovering[j]
}

/* Sends all but the last entry to a replica that the leader of this term has not reached yet. */
inline replicate_part(i, j) {
	if
	:: term[j] < term[i] -> term[j] = term[i]; voted[j] = 0
	:: else
	fi;
	if
	:: recovering[j] -> voted[j] = i + 1
	:: else
	fi;
	leader[j] = false;
	candidate[j] = false;
	forget(j);
	k = 1;
	do
	:: k < last[i] ->
		if
		:: k > last[j] || log[ENTRY(j, k)] != log[ENTRY(i, k)] -> cut(j, k); last[j] = k; log[ENTRY(j, k)] = log[ENTRY(i, k)]
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	ack_term[PAIR(j, i)] = term[i];
	ack_index[PAIR(j, i)] = last[i] - 1;
	ack_disk[PAIR(j, i)] = disk[j];
	ack_recovering[PAIR(j, i)] = recovering[j]
}

/* Removes the entries from an index on. */
inline cut(j, from) {
	m = from;
	do
	:: m <= LENGTH -> log[ENTRY(j, m)] = 0; m++
	:: else -> break
	od;
	m = 0
}

inline count(j, i) {
	known_disk[PAIR(j, i)] = ack_disk[PAIR(j, i)];
	commit[i] = ack_index[PAIR(j, i)];
	k = 1;
	do
	:: k <= commit[i] && k <= chosen_last -> assert(log[ENTRY(i, k)] == chosen[k]); k++
	:: k <= commit[i] && k > chosen_last -> chosen[k] = log[ENTRY(i, k)]; chosen_in[k] = term[i]; chosen_last = k; k++
	:: else -> break
	od;
	k = 0
}

inline ask_recovery(j, i) {
	if
	:: known_disk[PAIR(j, i)] != disk[j] -> known_disk[PAIR(j, i)] = disk[j]; barrier[PAIR(j, i)] = 0
	:: else
	fi;
	if
	:: barrier[PAIR(j, i)] == 0 -> append_entry(i); barrier[PAIR(j, i)] = last[i]
	:: else
	fi
}

inline lose_disk(i) {
	losses--;
	disk[i]++;
	forget(i);
	term[i] = 0; voted[i] = 0; last[i] = 0; commit[i] = 0; awaited[i] = 0;
	candidate[i] = false; leader[i] = false; recovering[i] = true;
	k = 1;
	do
	:: k <= LENGTH -> log[ENTRY(i, k)] = 0; k++
	:: else -> break
	od;
	k = 0
}

#define UP_TO_DATE(i, j) (log[ENTRY(i, last[i])] > log[ENTRY(j, last[j])] || (log[ENTRY(i, last[i])] == log[ENTRY(j, last[j])] && last[i] >= last[j]))
#define FREE_VOTE(j, i) (term[j] < term[i] || (term[j] == term[i] && (voted[j] == 0 || voted[j] == i + 1)))
#define VALID_ACK(j, i) (ack_term[PAIR(j, i)] == term[i] && !ack_recovering[PAIR(j, i)] && ack_index[PAIR(j, i)] > commit[i])
#define SAME_DISK(j, i) (known_disk[PAIR(j, i)] == 0 || known_disk[PAIR(j, i)] == ack_disk[PAIR(j, i)])
#define OF_THIS_TERM(j, i) (log[ENTRY(i, ack_index[PAIR(j, i)])] == term[i])
#define NONE_RECOVERING (!recovering[0] && !recovering[1] && !recovering[2])

/* What one replica does by itself, or for another one. Entries are those that begin a term, and barriers. */
#define ALONE(i) \
	:: d_step { !recovering[i] && term[i] < TERMS -> campaign(i) } \
	:: d_step { losses > 0 && NONE_RECOVERING -> lose_disk(i) }

#define BETWEEN(i, j) \
	:: d_step { candidate[i] && !recovering[j] && FREE_VOTE(j, i) && UP_TO_DATE(i, j) && vote[PAIR(j, i)] != term[i] -> grant(j, i) } \
	:: d_step { candidate[i] && vote[PAIR(j, i)] == term[i] && last[i] < LENGTH -> lead(i) } \
	:: d_step { leader[i] && term[j] <= term[i] -> replicate(i, j) } \
	:: d_step { leader[i] && term[j] <= term[i] && ack_term[PAIR(j, i)] != term[i] && last[i] > 1 -> replicate_part(i, j) } \
	:: d_step { leader[i] && VALID_ACK(j, i) && SAME_DISK(j, i) && OF_THIS_TERM(j, i) -> count(j, i) } \
	:: d_step { leader[i] && recovering[j] && barrier[PAIR(j, i)] == 0 && last[i] < LENGTH -> ask_recovery(j, i) } \
	:: d_step { leader[i] && recovering[j] && known_disk[PAIR(j, i)] != disk[j] && last[i] < LENGTH -> ask_recovery(j, i) } \
	:: d_step { leader[i] && recovering[j] && awaited[j] == 0 && known_disk[PAIR(j, i)] == disk[j] && barrier[PAIR(j, i)] != 0 && commit[i] >= barrier[PAIR(j, i)] -> awaited[j] = barrier[PAIR(j, i)] }

init {
	/* Names do not matter: replica 0 has won the first election by the vote of replica 1. */
	d_step {
		disk[0] = 1; disk[1] = 1; disk[2] = 1;
		campaign(0);
		grant(1, 0);
		lead(0)
	};
end:	do
	ALONE(0)
	ALONE(1)
	ALONE(2)
	BETWEEN(0, 1)
	BETWEEN(0, 2)
	BETWEEN(1, 0)
	BETWEEN(1, 2)
	BETWEEN(2, 0)
	BETWEEN(2, 1)
	od
}
