package relay

import (
	"maps"
	"slices"
	"sync"
)

// maxMoves bounds the workers that one update moves between members to even out their loads. With four updates a second, a returned member is in use within seconds and no call finds all of its connections new.
const maxMoves = 50

// failuresBeforeMove is how many calls of a worker in a row fail through a member before the worker is moved. Calls also fail where the worker or the leader is slow, and each move costs the next member connections to the worker.
const failuresBeforeMove = 3

// Member is another member that can call workers.
type Member struct {
	Address string // of its drpc listener
	Domain  string // failure domain
}

// Assignment tells which member calls each worker. It lives in the leader's memory; each leader makes its own.
type Assignment struct {
	direct int // workers that the leader calls itself

	mu      sync.Mutex
	many    bool
	members map[string]Member // by address
	domains map[string]string // of the workers, by id
	via     map[string]string // the member's address by worker, empty for the leader itself
	load    map[string]int    // workers by member, those of the leader under the empty address
	failed  map[string]string // by worker, the address of the member from which it was moved last, as calls failed
	inARow  map[string]int    // by worker, the calls that have failed through its member since the last that did not
	moves   int               // workers that may still be moved for failed calls before the next update
}

// NewAssignment returns an assignment for a leader that can call direct workers itself, as can each other member. With 0 it calls all of them.
func NewAssignment(direct int) *Assignment {
	a := &Assignment{direct: direct}
	a.clear()
	return a
}

func (a *Assignment) clear() {
	a.members, a.domains = map[string]Member{}, map[string]string{}
	a.via, a.load, a.failed, a.inARow = map[string]string{}, map[string]int{}, map[string]string{}, map[string]int{}
}

// Many reports whether there are more workers than the leader calls itself.
func (a *Assignment) Many(workers int) bool {
	return a.direct > 0 && workers > a.direct
}

// Needed reports whether the leader needs other members for its calls. It stays true until a tenth less workers are left than it can call, so that workers that come and go at the limit are not moved each time.
func (a *Assignment) Needed(workers int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.exceeds(workers)
}

func (a *Assignment) exceeds(workers int) bool {
	if a.many {
		return workers > a.direct*9/10
	}
	return a.Many(workers)
}

// Update assigns all workers, given with their failure domains in a map that the caller must not use anymore, to the leader and the members that are in use. Assignments to members that remain are kept, except for a few that even out the loads.
func (a *Assignment) Update(members []Member, workers map[string]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.many = a.exceeds(len(workers))
	if !a.many {
		a.clear()
		return
	}
	a.members, a.domains, a.moves = map[string]Member{}, workers, maxMoves
	for _, m := range members {
		a.members[m.Address] = m
	}
	for worker, address := range a.via {
		_, known := workers[worker]
		if _, used := a.members[address]; !known || address != "" && !used {
			a.remove(worker)
		}
	}
	a.releaseExcess()
	for _, worker := range slices.Sorted(maps.Keys(workers)) {
		if _, assigned := a.via[worker]; !assigned {
			a.assign(worker)
		}
	}
	a.even()
}

// releaseExcess releases some workers of those that have more than they can call, as after a member has returned.
func (a *Assignment) releaseExcess() {
	excess := map[string]int{}
	for address, load := range a.load {
		if load > a.direct && len(a.members) > 0 {
			excess[address] = load - a.direct
		}
	}
	if len(excess) == 0 {
		return
	}
	moves := maxMoves
	for _, worker := range slices.Sorted(maps.Keys(a.via)) {
		if address := a.via[worker]; excess[address] > 0 && moves > 0 {
			a.remove(worker)
			excess[address]--
			moves--
		}
	}
}

func (a *Assignment) remove(worker string) {
	a.load[a.via[worker]]--
	delete(a.via, worker)
	delete(a.failed, worker)
	delete(a.inARow, worker)
}

func (a *Assignment) assign(worker string) {
	address := a.choose(worker)
	a.via[worker] = address
	a.load[address]++
}

// choose returns the leader itself as long as it has connections left, then the member with the fewest workers in the worker's failure domain that can call another one, and then the one with the fewest of all.
// A member through which a call of the worker has just failed is chosen only if there is no other.
func (a *Assignment) choose(worker string) string {
	if a.load[""] < a.direct || len(a.members) == 0 {
		return ""
	}
	return slices.MinFunc(slices.Sorted(maps.Keys(a.members)), func(x, y string) int {
		return a.cost(worker, x) - a.cost(worker, y)
	})
}

func (a *Assignment) cost(worker, address string) int {
	const tooMany, other = 1 << 20, 1 << 19
	cost := a.load[address]
	if a.failed[worker] == address {
		cost += 2 * tooMany
	}
	if a.load[address] >= a.direct {
		return cost + tooMany
	}
	if a.members[address].Domain != a.domains[worker] {
		cost += other
	}
	return cost
}

// even moves some workers from the member that has the most to the one that has the fewest, once these differ by a quarter of what a member can call.
func (a *Assignment) even() {
	if len(a.members) < 2 {
		return
	}
	byLoad := slices.SortedFunc(maps.Keys(a.members), func(x, y string) int { return a.load[x] - a.load[y] })
	least, most := byLoad[0], byLoad[len(byLoad)-1]
	moves := min((a.load[most]-a.load[least]-a.direct/4)/2, maxMoves)
	if moves <= 0 {
		return
	}
	for _, worker := range slices.Sorted(maps.Keys(a.via)) {
		if a.via[worker] != most || a.failed[worker] == least {
			continue
		}
		a.load[most]--
		a.load[least]++
		a.via[worker] = least
		if moves--; moves == 0 {
			return
		}
	}
}

// Place returns the same as Of for a worker that may be new, and assigns it if it is.
func (a *Assignment) Place(worker, domain string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, assigned := a.via[worker]; !assigned && a.many {
		a.domains[worker] = domain
		a.assign(worker)
	}
	return a.via[worker]
}

// Of returns the address of the member that calls a worker, empty for the leader itself.
func (a *Assignment) Of(worker string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.via[worker]
}

// Succeeded notes that a call of a worker was answered.
func (a *Assignment) Succeeded(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.inARow, worker)
}

// Failed notes that a call of a worker through a member has failed. After some failures in a row, the worker moves to another member, or to the leader if there is no other, as it may be reachable there.
func (a *Assignment) Failed(worker, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if current, assigned := a.via[worker]; !assigned || current != address {
		return
	}
	if a.inARow[worker]++; a.inARow[worker] < failuresBeforeMove || a.moves <= 0 {
		return
	}
	a.moves--
	delete(a.inARow, worker)
	a.load[address]--
	a.failed[worker] = address
	next := a.choose(worker)
	if next == address {
		next = ""
	}
	a.via[worker] = next
	a.load[next]++
}

// Loads returns the number of workers by member, those of the leader under the empty address.
func (a *Assignment) Loads() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.load)
}
