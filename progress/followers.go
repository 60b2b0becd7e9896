package progress

import "slices"

// Followers holds all replicas of a group except the leader, by ID.
type Followers map[uint64]*Follower

// Tick advances the time since each follower's last reply by one tick.
func (f Followers) Tick() {
	for _, follower := range f {
		follower.silentTicks++
	}
}

// Quorum returns the smallest number of replicas that is a majority of a group of the given size.
func Quorum(size int) int {
	return size/2 + 1
}

// quorum returns the size of a majority of the voters; leaderVotes tells whether the leader is one of them.
func (f Followers) quorum(leaderVotes bool) int {
	voters := 0
	if leaderVotes {
		voters++
	}
	for _, follower := range f {
		if follower.Votes {
			voters++
		}
	}
	return Quorum(voters)
}

// Active reports whether a quorum replied within the given number of ticks; a leader that votes counts as active.
func (f Followers) Active(ticks int, leaderVotes bool) bool {
	active := 0
	if leaderVotes {
		active++
	}
	for _, follower := range f {
		if follower.Votes && follower.CountsForQuorum && follower.Active(ticks) {
			active++
		}
	}
	return active >= f.quorum(leaderVotes)
}

// QuorumValue returns the highest value that a quorum of voters has reached; the leader's own value counts if it votes.
func (f Followers) QuorumValue(own uint64, leaderVotes bool, of func(*Follower) uint64) uint64 {
	var values []uint64
	if leaderVotes {
		values = append(values, own)
	}
	for _, follower := range f {
		if !follower.Votes {
			continue
		}
		value := of(follower)
		if !follower.CountsForQuorum {
			value = 0
		}
		values = append(values, value)
	}
	slices.Sort(values)
	return values[len(values)-f.quorum(leaderVotes)]
}
