/*
 * Model of leader election, log replication and recovery from a lost disk, for three replicas.
 * Votes and acknowledgements stay in flight forever: they may arrive late, twice, or after their sender lost its disk.
 * Other messages commit the sender to nothing, so the receiver reads their content from the sender's current state.
 */
#define N 3
#define MAX_TERM 4    /* highest term */
#define MAX_LENGTH 4  /* maximum number of entries in a log */
#define MAX_LOSSES 2  /* maximum number of lost disks; no disk is lost while another recovers */
#ifndef ON_RECOVERED
#define ON_RECOVERED skip
#endif

#define PAIR(from, to) ((from) * N + (to))
#define ENTRY(replica, index) ((replica) * (MAX_LENGTH + 1) + (index))

byte term[N], voted_for[N], last_index[N], commit[N], disk_id[N], awaited_barrier[N];
bool candidate[N], leader[N], recovering[N];
byte log[N * (MAX_LENGTH + 1)];          /* term of each entry, from index 1 */
byte vote[N * N];                        /* term of the vote in flight */
byte ack_term[N * N], ack_index[N * N], ack_disk[N * N];
bool ack_recovering[N * N];
byte known_disk[N * N], barrier[N * N];  /* a leader's view of the other replicas, indexed by PAIR(other, leader) */
byte losses_left = MAX_LOSSES;

/* History variables for the assertions. */
byte leader_of[MAX_TERM + 1];
byte committed_term[MAX_LENGTH + 1], committed_in[MAX_LENGTH + 1];  /* term of each committed entry, and the term in which it was committed */
byte committed_last;

byte k, m;

/*
 * Clears the messages in flight to a replica and its view of the others.
 * They are lost when its process ends, and have no effect once it is neither candidate nor leader.
 * Clearing them keeps the state space small.
 */
inline clear_messages(i) {
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
	last_index[i]++;
	log[ENTRY(i, last_index[i])] = term[i]
}

/* A leader that gets no answer from a quorum steps down and may start another election. */
inline campaign(i) {
	clear_messages(i);
	term[i]++;
	voted_for[i] = i + 1;
	candidate[i] = true;
	leader[i] = false
}

inline grant_vote(j, i) {
	if
	:: term[j] < term[i] -> leader[j] = false; candidate[j] = false; clear_messages(j)
	:: else
	fi;
	term[j] = term[i];
	voted_for[j] = i + 1;
	vote[PAIR(j, i)] = term[i]
}

inline become_leader(i) {
	assert(leader_of[term[i]] == 0);
	leader_of[term[i]] = i + 1;
	k = 1;
	do
	:: k <= committed_last -> assert(committed_in[k] > term[i] || (last_index[i] >= k && log[ENTRY(i, k)] == committed_term[k])); k++
	:: else -> break
	od;
	candidate[i] = false;
	leader[i] = true;
	clear_messages(i);
	append_entry(i)
}

inline replicate(i, j) {
	if
	:: term[j] < term[i] -> term[j] = term[i]; voted_for[j] = 0
	:: else
	fi;
	if
	:: recovering[j] -> voted_for[j] = i + 1
	:: else
	fi;
	leader[j] = false;
	candidate[j] = false;
	clear_messages(j);
	last_index[j] = last_index[i];
	k = 1;
	do
	:: k <= MAX_LENGTH -> log[ENTRY(j, k)] = log[ENTRY(i, k)]; k++
	:: else -> break
	od;
	k = 0;
	if
	:: commit[j] < commit[i] -> commit[j] = commit[i]
	:: else
	fi;
	if
	:: recovering[j] && awaited_barrier[j] != 0 && commit[j] >= awaited_barrier[j] -> recovering[j] = false; awaited_barrier[j] = 0; ON_RECOVERED
	:: else
	fi;
	ack_term[PAIR(j, i)] = term[i];
	ack_index[PAIR(j, i)] = last_index[j];
	ack_disk[PAIR(j, i)] = disk_id[j];
	ack_recovering[PAIR(j, i)] = recovering[j]
}

/* Sends all entries but the last to a replica that has not acknowledged anything in this term. */
inline replicate_part(i, j) {
	if
	:: term[j] < term[i] -> term[j] = term[i]; voted_for[j] = 0
	:: else
	fi;
	if
	:: recovering[j] -> voted_for[j] = i + 1
	:: else
	fi;
	leader[j] = false;
	candidate[j] = false;
	clear_messages(j);
	k = 1;
	do
	:: k < last_index[i] ->
		if
		:: k > last_index[j] || log[ENTRY(j, k)] != log[ENTRY(i, k)] -> truncate_log(j, k); last_index[j] = k; log[ENTRY(j, k)] = log[ENTRY(i, k)]
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	ack_term[PAIR(j, i)] = term[i];
	ack_index[PAIR(j, i)] = last_index[i] - 1;
	ack_disk[PAIR(j, i)] = disk_id[j];
	ack_recovering[PAIR(j, i)] = recovering[j]
}

/* Removes the entries at index from and above. */
inline truncate_log(j, from) {
	m = from;
	do
	:: m <= MAX_LENGTH -> log[ENTRY(j, m)] = 0; m++
	:: else -> break
	od;
	m = 0
}

inline commit_acknowledged(j, i) {
	known_disk[PAIR(j, i)] = ack_disk[PAIR(j, i)];
	commit[i] = ack_index[PAIR(j, i)];
	k = 1;
	do
	:: k <= commit[i] && k <= committed_last -> assert(log[ENTRY(i, k)] == committed_term[k]); k++
	:: k <= commit[i] && k > committed_last -> committed_term[k] = log[ENTRY(i, k)]; committed_in[k] = term[i]; committed_last = k; k++
	:: else -> break
	od;
	k = 0
}

inline start_recovery(j, i) {
	if
	:: known_disk[PAIR(j, i)] != disk_id[j] -> known_disk[PAIR(j, i)] = disk_id[j]; barrier[PAIR(j, i)] = 0
	:: else
	fi;
	if
	:: barrier[PAIR(j, i)] == 0 -> append_entry(i); barrier[PAIR(j, i)] = last_index[i]
	:: else
	fi
}

inline fail_disk(i) {
	losses_left--;
	disk_id[i]++;
	clear_messages(i);
	term[i] = 0; voted_for[i] = 0; last_index[i] = 0; commit[i] = 0; awaited_barrier[i] = 0;
	candidate[i] = false; leader[i] = false; recovering[i] = true;
	k = 1;
	do
	:: k <= MAX_LENGTH -> log[ENTRY(i, k)] = 0; k++
	:: else -> break
	od;
	k = 0
}

#define UP_TO_DATE(i, j) (log[ENTRY(i, last_index[i])] > log[ENTRY(j, last_index[j])] || (log[ENTRY(i, last_index[i])] == log[ENTRY(j, last_index[j])] && last_index[i] >= last_index[j]))
#define CAN_VOTE(j, i) (term[j] < term[i] || (term[j] == term[i] && (voted_for[j] == 0 || voted_for[j] == i + 1)))
#define VALID_ACK(j, i) (ack_term[PAIR(j, i)] == term[i] && !ack_recovering[PAIR(j, i)] && ack_index[PAIR(j, i)] > commit[i])
#define SAME_DISK(j, i) (known_disk[PAIR(j, i)] == 0 || known_disk[PAIR(j, i)] == ack_disk[PAIR(j, i)])
#define ACK_OF_OWN_TERM(j, i) (log[ENTRY(i, ack_index[PAIR(j, i)])] == term[i])
#define NONE_RECOVERING (!recovering[0] && !recovering[1] && !recovering[2])

/* Steps of a single replica, and steps between two replicas. The only log entries are each leader's first entry and recovery barriers. */
#define LOCAL_STEPS(i) \
	:: d_step { !recovering[i] && term[i] < MAX_TERM -> campaign(i) } \
	:: d_step { losses_left > 0 && NONE_RECOVERING -> fail_disk(i) }

#define PAIR_STEPS(i, j) \
	:: d_step { candidate[i] && !recovering[j] && CAN_VOTE(j, i) && UP_TO_DATE(i, j) && vote[PAIR(j, i)] != term[i] -> grant_vote(j, i) } \
	:: d_step { candidate[i] && vote[PAIR(j, i)] == term[i] && last_index[i] < MAX_LENGTH -> become_leader(i) } \
	:: d_step { leader[i] && term[j] <= term[i] -> replicate(i, j) } \
	:: d_step { leader[i] && term[j] <= term[i] && ack_term[PAIR(j, i)] != term[i] && last_index[i] > 1 -> replicate_part(i, j) } \
	:: d_step { leader[i] && VALID_ACK(j, i) && SAME_DISK(j, i) && ACK_OF_OWN_TERM(j, i) -> commit_acknowledged(j, i) } \
	:: d_step { leader[i] && recovering[j] && barrier[PAIR(j, i)] == 0 && last_index[i] < MAX_LENGTH -> start_recovery(j, i) } \
	:: d_step { leader[i] && recovering[j] && known_disk[PAIR(j, i)] != disk_id[j] && last_index[i] < MAX_LENGTH -> start_recovery(j, i) } \
	:: d_step { leader[i] && recovering[j] && awaited_barrier[j] == 0 && known_disk[PAIR(j, i)] == disk_id[j] && barrier[PAIR(j, i)] != 0 && commit[i] >= barrier[PAIR(j, i)] -> awaited_barrier[j] = barrier[PAIR(j, i)] }

init {
	/* The replicas are symmetric, so the model starts after replica 0 has won the first election by the vote of replica 1. */
	d_step {
		disk_id[0] = 1; disk_id[1] = 1; disk_id[2] = 1;
		campaign(0);
		grant_vote(1, 0);
		become_leader(0)
	};
end:	do
	LOCAL_STEPS(0)
	LOCAL_STEPS(1)
	LOCAL_STEPS(2)
	PAIR_STEPS(0, 1)
	PAIR_STEPS(0, 2)
	PAIR_STEPS(1, 0)
	PAIR_STEPS(1, 2)
	PAIR_STEPS(2, 0)
	PAIR_STEPS(2, 1)
	od
}
