package progress

import "slices"

// Follower is what a leader knows of one follower.
type Follower struct {
	Match           uint64 // last index known to match
	Next            uint64 // first index to send
	Probing         bool   // one append at a time until one is accepted
	Acked           uint64 // last heartbeat round that it acknowledged
	Votes           bool   // is a voting member of the group
	CountsForQuorum bool   // counts for a quorum if it votes: its disk holds what it answered
	Barrier         uint64 // index that must be committed without it before it votes again

	sentCommit      uint64   // commit index that was last sent to it
	nextBeforeProbe uint64   // Next before the unanswered probe
	silentTicks     int      // ticks since it last replied
	sentRound       uint64   // heartbeat round in which the last append or snapshot was sent, 0 if none is unacknowledged
	disk            uint64   // identity of the data folder whose replies count
	retiredDisks    []uint64 // identities of data folders that it has lost
}

// New returns a follower that may hold anything before next.
func New(next uint64) *Follower {
	return &Follower{Next: next, Votes: true, CountsForQuorum: true, Probing: true}
}

// Silent returns the ticks since the follower last replied.
func (f *Follower) Silent() int { return f.silentTicks }

// RecordReply records a reply and returns false if the reply comes from a disk that the follower has lost.
func (f *Follower) RecordReply(disk uint64, recovering bool) bool {
	if f.disk == 0 {
		f.disk = disk
	}
	if f.disk != disk {
		return false
	}
	f.silentTicks = 0
	f.CountsForQuorum = !recovering
	return true
}

// Replace records that the follower restarted on a blank disk, which invalidates all replies of the former disk. It returns false if the given disk has been lost as well.
func (f *Follower) Replace(disk, next uint64) bool {
	if f.Retired(disk) {
		return false
	}
	if f.disk != disk {
		f.resetForDisk(disk, next)
	}
	f.silentTicks = 0
	return true
}

// Retired reports whether a disk is considered lost.
func (f *Follower) Retired(disk uint64) bool {
	return slices.Contains(f.retiredDisks, disk)
}

func (f *Follower) resetForDisk(disk, next uint64) {
	if f.disk != 0 {
		f.retiredDisks = append(f.retiredDisks, f.disk)
	}
	*f = Follower{Next: next, disk: disk, retiredDisks: f.retiredDisks, Probing: true, Votes: f.Votes}
}

// Active reports whether the follower replied within the given number of ticks.
func (f *Follower) Active(ticks int) bool {
	return f.silentTicks < ticks
}

// HasPending reports whether there are entries up to last to send. Once the logs are known to match, at most ahead entries may be unacknowledged.
func (f *Follower) HasPending(last, ahead uint64) bool {
	return f.Next <= last && (f.Probing || f.Next <= f.Match+ahead)
}

// AwaitsProbe reports whether a probe is unacknowledged, so that nothing more may be sent.
func (f *Follower) AwaitsProbe() bool {
	return f.Probing && f.sentRound > 0
}

// RecordSent records that the entries before next were sent in the given heartbeat round.
func (f *Follower) RecordSent(next, round uint64) {
	f.nextBeforeProbe, f.Next = f.Next, next
	f.sentRound = round
}

// Reject moves Next back to where the logs may match, and returns false if later replies have made the rejection stale.
func (f *Follower) Reject(index, hint uint64) bool {
	if index <= f.Match || index >= f.Next {
		return false
	}
	f.Next = max(f.Match, min(hint, index-1)) + 1
	f.Probing = true
	f.sentRound = 0
	return true
}

// RecordMatch records that the logs match up to index.
func (f *Follower) RecordMatch(index uint64) {
	f.Match = max(f.Match, index)
	if f.Next <= f.Match+1 {
		f.Next = f.Match + 1
		f.Probing, f.sentRound = false, 0
	}
}

// Resend moves Next back to the first entry that the follower lacks, if it was sent before an acknowledged heartbeat round and so was lost.
func (f *Follower) Resend(round, held uint64) {
	first := max(held, f.Match) + 1
	if f.sentRound == 0 || round <= f.sentRound || f.Next <= first {
		return
	}
	f.sentRound = 0
	f.Next = first
	if f.Probing {
		f.Next = max(f.Next, f.nextBeforeProbe)
	}
}

// NextCommit returns the commit index to send to the follower; ok is false if it was sent already.
func (f *Follower) NextCommit(commit uint64) (known uint64, ok bool) {
	known = min(f.Match, commit)
	if known <= f.sentCommit {
		return 0, false
	}
	f.sentCommit = known
	return known, true
}
