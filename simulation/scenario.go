package simulation

// Scenario describes the load and the faults of a run. Zero values inject no fault.
type Scenario struct {
	Name            string
	Executors       int
	domains         int
	Load            float64 // mean share of all slots in use
	slow, entryLost bool
	domainOut       bool // the first domain is barred from 2 s to 4 s
	constantService bool // every request takes the mean service time
	skewedCallers   bool // callers of the first domain send twice as many requests as the others
}

// Scenarios returns the scenarios for an installation of the given size.
func Scenarios(executors, domains int) []Scenario {
	base := Scenario{Executors: executors, domains: domains, Load: 0.8}
	list := []Scenario{}
	add := func(name string, change func(*Scenario)) {
		sc := base
		sc.Name = name
		change(&sc)
		list = append(list, sc)
	}
	add("50%", func(s *Scenario) { s.Load = 0.5 })
	add("80%", func(*Scenario) {})
	add("95%", func(s *Scenario) { s.Load = 0.95 })
	add("80%, one slow", func(s *Scenario) { s.slow = true })
	add("80%, entry lost", func(s *Scenario) { s.entryLost = true })
	add("50%, domain out and back", func(s *Scenario) { s.Load, s.domainOut = 0.5, true })
	add("80%, uneven callers", func(s *Scenario) { s.skewedCallers = true })
	add("80%, even service", func(s *Scenario) { s.constantService = true })
	return list
}
