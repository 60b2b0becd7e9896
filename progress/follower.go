package progress

import "slices"

// Follower is what a leader knows of one follower.
type Follower struct {
	Match   uint64 // last index known to agree
	Next    uint64 // first index to send
	Probing bool   // one append at a time until one agrees
	Acked   uint64 // last heartbeat round that it answered
	Votes   bool   // is a voting member of the group
	Voter   bool   // counts for a quorum if it votes: its disk holds what it answered
	Barrier uint64 // index that must be committed without it before it votes again

	told    uint64   // commit index that it was last told
	base    uint64   // Next before the unanswered probe
	silent  int      // ticks since it answered
	sent    uint64   // round in force when the last append or snapshot was sent, 0 if none is unanswered
	disk    uint64   // identity of the data folder that its answers speak for
	retired []uint64 // identities of folders that it has lost
}

// New returns a follower that may hold anything before next.
func New(next uint64) *Follower {
	return &Follower{Next: next, Votes: true, Voter: true, Probing: true}
}

// Silent returns the ticks since the follower answered.
func (f *Follower) Silent() int { return f.silent }

// Answer notes an answer and returns false if it speaks for a disk that is no more.
func (f *Follower) Answer(disk uint64, recovering bool) bool {
	if f.disk == 0 {
		f.disk = disk
	}
	if f.disk != disk {
		return false
	}
	f.silent = 0
	f.Voter = !recovering
	return true
}

// Replace notes that the follower starts anew on a blank disk, which takes back all that a former one answered, and returns false if that disk is lost by now.
func (f *Follower) Replace(disk, next uint64) bool {
	if f.Retired(disk) {
		return false
	}
	if f.disk != disk {
		f.retire(disk, next)
	}
	f.silent = 0
	return true
}

// Retired says whether a disk is taken for one that is no more.
func (f *Follower) Retired(disk uint64) bool {
	return slices.Contains(f.retired, disk)
}

func (f *Follower) retire(disk, next uint64) {
	if f.disk != 0 {
		f.retired = append(f.retired, f.disk)
	}
	*f = Follower{Next: next, disk: disk, retired: f.retired, Probing: true, Votes: f.Votes}
}

// Active says whether the follower answered within the given number of ticks.
func (f *Follower) Active(ticks int) bool {
	return f.silent < ticks
}

// Lacks says whether there is more to send, up to last and, once the logs are known to agree, at most ahead entries before the answers.
func (f *Follower) Lacks(last, ahead uint64) bool {
	return f.Next <= last && (f.Probing || f.Next <= f.Match+ahead)
}

// Waits says whether nothing more may be sent until a probe is answered.
func (f *Follower) Waits() bool {
	return f.Probing && f.sent > 0
}

// Sent notes that what lies before next was sent in a round.
func (f *Follower) Sent(next, round uint64) {
	f.base, f.Next = f.Next, next
	f.sent = round
}

// Reject moves back to where the logs may agree, and returns false if the rejection is overtaken by other answers.
func (f *Follower) Reject(index, hint uint64) bool {
	if index <= f.Match || index >= f.Next {
		return false
	}
	f.Next = max(f.Match, min(hint, index-1)) + 1
	f.Probing = true
	f.sent = 0
	return true
}

// Agree notes that the logs agree up to index.
func (f *Follower) Agree(index uint64) {
	f.Match = max(f.Match, index)
	if f.Next <= f.Match+1 {
		f.Next = f.Match + 1
		f.Probing, f.sent = false, 0
	}
}

// Resend moves back to before what was sent ahead of an answered round but is not among what the follower holds.
func (f *Follower) Resend(round, held uint64) {
	first := max(held, f.Match) + 1
	if f.sent == 0 || round <= f.sent || f.Next <= first {
		return
	}
	f.sent = 0
	f.Next = first
	if f.Probing {
		f.Next = max(f.Next, f.base)
	}
}

// Tell returns the commit index that the follower can use now; ok is false if it was told already.
func (f *Follower) Tell(commit uint64) (known uint64, ok bool) {
	known = min(f.Match, commit)
	if known <= f.told {
		return 0, false
	}
	f.told = known
	return known, true
}
