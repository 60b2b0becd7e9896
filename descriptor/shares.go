package descriptor

// reserved is the number of descriptors for listeners, files of the log, metrics and the runtime.
const reserved = 200

// callsPerWorker is the number of connections that a leader keeps to each worker that it calls itself: 3,255 in all at 645 workers, of which 645 carried announcements and about 400 came from other processes.
const callsPerWorker = 3.5

// otherClients is how many connections a member accepts from operators and others beside those for announcements.
const otherClients = 200

// Shares are the numbers of connections of each kind that a member may have.
type Shares struct {
	Calls         int // to workers
	Announcements int // from workers and operators
	Links         int // to and from other members and gateways
}

// Divide divides a member's descriptors.
// At 4,096 descriptors, 2,435 connections reach 695 workers, and five members hold the announcements of 3,000 workers. The rest suffices for 270 gateways, the other members and forwarded announcements.
func Divide(maxFDs int) Shares {
	usable := max(maxFDs-reserved, 0)
	s := Shares{Calls: usable * 5 / 8, Announcements: usable / 5}
	s.Links = usable - s.Calls - s.Announcements
	return s
}

// DirectWorkers returns the number of workers that one member can call itself, 0 if there is no limit.
func (s Shares) DirectWorkers() int {
	if s == (Shares{}) {
		return 0
	}
	return max(int(float64(s.Calls)/callsPerWorker), 1)
}

// Accepted returns how many connections of clients a member accepts.
func (s Shares) Accepted() int { return s.Announcements + otherClients }
