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

// quorum returns the size of a majority of the voters, the leader included.
func (f Followers) quorum() int {
	voters := 1
	for _, follower := range f {
		if follower.Votes {
			voters++
		}
	}
	return Quorum(voters)
}

// Active reports whether a quorum, the leader included, replied within the given number of ticks.
func (f Followers) Active(ticks int) bool {
	active := 1
	for _, follower := range f {
		if follower.Votes && follower.CountsForQuorum && follower.Active(ticks) {
			active++
		}
	}
	return active >= f.quorum()
}

// QuorumValue returns the highest value that a quorum of voters has reached, the leader's own among them.
func (f Followers) QuorumValue(own uint64, of func(*Follower) uint64) uint64 {
	values := []uint64{own}
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
	return values[len(values)-f.quorum()]
}
