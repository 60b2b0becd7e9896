package fakeworker

const minSpeed = 0.05 // lower bound on the speed of a task, whatever the interference

// interference is the slowdown of a task per core used by a neighbour, keyed by the program of the task and that of the neighbour. Pairs that are not listed use interferenceOfOthers.
var interference = map[[2]string]float64{
	{"bookings", "refunds"}:    0.02,
	{"bookings", "valuations"}: 0.10,
	{"bids", "refunds"}:        0.06,
	{"bids", "valuations"}:     0.15,
	{"refunds", "refunds"}:     0.03,
	{"valuations", "refunds"}:  0.05,
}

const interferenceOfOthers = 0.002

func slowdownPerCore(program, neighbor string) float64 {
	if cost, listed := interference[[2]string{program, neighbor}]; listed {
		return cost
	}
	return interferenceOfOthers
}

// speeds returns the relative speed of each running task under the present interference; 1 is full speed.
func (b *table) speeds() map[attemptKey]float64 {
	busy := map[string]float64{} // cores in use by each program
	for _, t := range b.tasks {
		if t.running() {
			busy[t.order.Program] += float64(t.currentUse().MilliCPU) / 1000
		}
	}
	speeds := map[attemptKey]float64{}
	for key, t := range b.tasks {
		if t.running() {
			speeds[key] = speedOf(t, busy)
		}
	}
	return speeds
}

func speedOf(t *task, busy map[string]float64) float64 {
	cost := 0.0
	for program, cores := range busy {
		if program == t.order.Program {
			cores -= float64(t.currentUse().MilliCPU) / 1000
		}
		cost += cores * slowdownPerCore(t.order.Program, program)
	}
	left := float64(100-t.throttle) / 100
	return max(left/(1+cost), minSpeed)
}
