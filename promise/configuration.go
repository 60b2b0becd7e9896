package promise

import "daisyswitch/standin"

const forceBoundUS = 5 * secondUS // time for an accepted configuration to become active everywhere

// configuration checks that accepted versions become active in time and are kept. It counts one observation for each entry and version that was seen active in time.
func configuration(r *Records, result *Result) {
	seen := map[string][]standin.RunEvent{}
	for _, h := range r.eventsOfKind(standin.ConfigSeen) {
		seen[h.Name] = append(seen[h.Name], h)
	}
	for name, sightings := range seen {
		checkMonotonic(name, sightings, result)
		for _, accepted := range r.eventsOfKind(standin.ConfigAccepted) {
			r.checkActive(name, sightings, accepted, result)
		}
	}
	r.checkFinalVersion(seen, result)
}

func checkMonotonic(name string, sightings []standin.RunEvent, result *Result) {
	highest := uint64(0)
	for _, s := range sightings {
		if s.Version < highest {
			result.addViolation("%s went back from version %d to %d", name, highest, s.Version)
		}
		highest = max(highest, s.Version)
	}
}

func (r *Records) checkActive(name string, sightings []standin.RunEvent, accepted standin.RunEvent, result *Result) {
	for _, s := range sightings {
		late := s.TimeUS > accepted.TimeUS+forceBoundUS
		switch {
		case late && s.Version < accepted.Version && r.cutOff(name, s.TimeUS):
		case late && s.Version < accepted.Version:
			result.addViolation("%s had version %d still, %d ms after %d was accepted", name, s.Version, (s.TimeUS-accepted.TimeUS)/1000, accepted.Version)
			return
		case !late && s.TimeUS >= accepted.TimeUS && s.Version >= accepted.Version:
			result.Observed++
			return
		}
	}
}

// checkFinalVersion checks that every entry that was seen, and was neither stopped nor killed, ends with the highest accepted version.
func (r *Records) checkFinalVersion(seen map[string][]standin.RunEvent, result *Result) {
	highest := uint64(0)
	for _, accepted := range r.eventsOfKind(standin.ConfigAccepted) {
		highest = max(highest, accepted.Version)
	}
	for name, sightings := range seen {
		_, killed := r.firstEvent(standin.Killed, name, 0)
		_, stopped := r.firstEvent(standin.StopBegan, name, 0)
		last := sightings[len(sightings)-1]
		if !killed && !stopped && last.Version < highest {
			result.addViolation("%s was last seen with version %d of %d", name, last.Version, highest)
		}
	}
}
