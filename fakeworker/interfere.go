package fakeworker

const slowest = 0.05 // speed of a task, however much it is disturbed

// interference is how much a task is slowed by each core that a neighbour uses, by the programs of both; pairs that are not listed hardly disturb each other.
var interference = map[[2]string]float64{
	{"bookings", "refunds"}:    0.02,
	{"bookings", "valuations"}: 0.10,
	{"bids", "refunds"}:        0.06,
	{"bids", "valuations"}:     0.15,
	{"refunds", "refunds"}:     0.03,
	{"valuations", "refunds"}:  0.05,
}

const interferenceOfOthers = 0.002

func disturbance(program, neighbor string) float64 {
	if cost, listed := interference[[2]string{program, neighbor}]; listed {
		return cost
	}
	return interferenceOfOthers
}

// speeds returns how fast each running task goes beside the others, 1 undisturbed.
func (b *table) speeds() map[ref]float64 {
	busy := map[string]float64{} // cores in use by each program
	for _, t := range b.tasks {
		if t.running() {
			busy[t.order.Program] += float64(t.use().MilliCPU) / 1000
		}
	}
	speeds := map[ref]float64{}
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
			cores -= float64(t.use().MilliCPU) / 1000
		}
		cost += cores * disturbance(t.order.Program, program)
	}
	left := float64(100-t.throttle) / 100
	return max(left/(1+cost), slowest)
}
