/*
 * Model of elections and commits around a change of members that takes the vote of replica 0, for four replicas.
 * Votes stay in flight forever and may arrive late. Replica 0 votes in the former members only, the others in both.
 * At most one replica goes down, at any moment and for good; in every state one of the others must be able to win an election.
 */
#define N 4
#define MAX_TERM 3    /* highest term */
#define MAX_LENGTH 3  /* maximum number of entries in a log */
#define NOBODY N
#ifndef ON_CHANGE_COMMITTED_BY_FORMER_VOTER
#define ON_CHANGE_COMMITTED_BY_FORMER_VOTER skip
#endif

#define PAIR(from, to) ((from) * N + (to))
#define ENTRY(replica, index) ((replica) * (MAX_LENGTH + 1) + (index))

byte term[N], voted_for[N], last_index[N], commit[N];
byte change_at[N];                  /* index of the change in a log, 0 if the log does not hold it */
bool candidate[N], leader[N];
byte log[N * (MAX_LENGTH + 1)];     /* term of each entry, from index 1 */
byte vote[N * N];                   /* term of the vote in flight */
byte match[N * N];                  /* a leader's view of the other logs, indexed by PAIR(other, leader) */
byte down = NOBODY;

/* History variables for the assertions. */
byte leader_of[MAX_TERM + 1];
byte committed_term[MAX_LENGTH + 1], committed_in[MAX_LENGTH + 1];
byte committed_last;

byte k;  /* loop variable */

#define VOTES(i, j) (j != 0 || change_at[i] == 0)           /* replica j votes in the active membership of replica i */
#define QUORUM(i) (change_at[i] == 0 -> 3 : 2)              /* of 4 former and 3 present voters */
#define COUNTS_ITSELF(i) VOTES(i, i)
#define MAY_CAMPAIGN(i) (VOTES(i, i) || commit[i] < change_at[i])
#define UP_TO_DATE(i, j) (log[ENTRY(i, last_index[i])] > log[ENTRY(j, last_index[j])] || (log[ENTRY(i, last_index[i])] == log[ENTRY(j, last_index[j])] && last_index[i] >= last_index[j]))
#define CAN_VOTE(j, i) (term[j] < term[i] || (term[j] == term[i] && (voted_for[j] == 0 || voted_for[j] == i + 1)))
#define VOTE_OF(j, i) ((j != i && VOTES(i, j) && vote[PAIR(j, i)] == term[i]) -> 1 : 0)
#define GRANTED(i) ((COUNTS_ITSELF(i) -> 1 : 0) + VOTE_OF(0, i) + VOTE_OF(1, i) + VOTE_OF(2, i) + VOTE_OF(3, i))
#define HOLDS(j, i, index) ((j != i && VOTES(i, j) && match[PAIR(j, i)] >= index) -> 1 : 0)
#define HELD(i, index) ((COUNTS_ITSELF(i) -> 1 : 0) + HOLDS(0, i, index) + HOLDS(1, i, index) + HOLDS(2, i, index) + HOLDS(3, i, index))

/* Messages to a replica have no effect once it is neither candidate nor leader; clearing them keeps the state space small. */
inline clear_messages(i) {
	k = 0;
	do
	:: k < N -> vote[PAIR(k, i)] = 0; match[PAIR(k, i)] = 0; k++
	:: else -> break
	od;
	k = 0
}

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

inline append_entry(i) {
	last_index[i]++;
	log[ENTRY(i, last_index[i])] = term[i]
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
	term[j] = term[i];
	leader[j] = false;
	candidate[j] = false;
	clear_messages(j);
	last_index[j] = last_index[i];
	change_at[j] = change_at[i];
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
	match[PAIR(j, i)] = last_index[j]
}

inline commit_held(i) {
	if
	:: !VOTES(i, i) -> ON_CHANGE_COMMITTED_BY_FORMER_VOTER
	:: else
	fi;
	commit[i] = last_index[i];
	k = 1;
	do
	:: k <= commit[i] && k <= committed_last -> assert(log[ENTRY(i, k)] == committed_term[k]); k++
	:: k <= commit[i] && k > committed_last -> committed_term[k] = log[ENTRY(i, k)]; committed_in[k] = term[i]; committed_last = k; k++
	:: else -> break
	od;
	k = 0
}

#define GIVES(j, i) ((j != down && VOTES(i, j) && (j == i || UP_TO_DATE(i, j))) -> 1 : 0)
#define CAN_WIN(i) (i != down && MAY_CAMPAIGN(i) && GIVES(0, i) + GIVES(1, i) + GIVES(2, i) + GIVES(3, i) >= QUORUM(i))

/* The change is proposed once, as a leader only proposes one after an entry of its own term is committed. */
#define LOCAL_STEPS(i) \
	:: d_step { i != down && MAY_CAMPAIGN(i) && term[i] < MAX_TERM -> campaign(i) } \
	:: d_step { candidate[i] && i != down && GRANTED(i) >= QUORUM(i) && last_index[i] < MAX_LENGTH -> become_leader(i) } \
	:: d_step { leader[i] && i != 0 && i != down && change_at[i] == 0 && commit[i] == last_index[i] && log[ENTRY(i, last_index[i])] == term[i] && last_index[i] < MAX_LENGTH -> append_entry(i); change_at[i] = last_index[i] } \
	:: d_step { leader[i] && i != down && commit[i] < last_index[i] && HELD(i, last_index[i]) >= QUORUM(i) -> commit_held(i) } \
	:: d_step { down == NOBODY -> down = i }

#define PAIR_STEPS(i, j) \
	:: d_step { candidate[i] && i != down && j != down && CAN_VOTE(j, i) && UP_TO_DATE(i, j) && vote[PAIR(j, i)] != term[i] -> grant_vote(j, i) } \
	:: d_step { leader[i] && i != down && j != down && term[j] <= term[i] && (match[PAIR(j, i)] < last_index[i] || commit[j] < commit[i]) -> replicate(i, j) }

init {
	/* Replica 1 leads term 1, whose first entry is committed and on all replicas. */
	d_step {
		leader[1] = true; leader_of[1] = 2; committed_last = 1; committed_term[1] = 1; committed_in[1] = 1;
		k = 0;
		do
		:: k < N -> term[k] = 1; voted_for[k] = 2; last_index[k] = 1; commit[k] = 1; log[ENTRY(k, 1)] = 1; match[PAIR(k, 1)] = 1; k++
		:: else -> break
		od;
		k = 0
	};
end:	do
	:: d_step { !(CAN_WIN(0) || CAN_WIN(1) || CAN_WIN(2) || CAN_WIN(3)) -> assert(false) }
	LOCAL_STEPS(0)
	LOCAL_STEPS(1)
	LOCAL_STEPS(2)
	LOCAL_STEPS(3)
	PAIR_STEPS(0, 1)
	PAIR_STEPS(0, 2)
	PAIR_STEPS(0, 3)
	PAIR_STEPS(1, 0)
	PAIR_STEPS(1, 2)
	PAIR_STEPS(1, 3)
	PAIR_STEPS(2, 0)
	PAIR_STEPS(2, 1)
	PAIR_STEPS(2, 3)
	PAIR_STEPS(3, 0)
	PAIR_STEPS(3, 1)
	PAIR_STEPS(3, 2)
	od
}
