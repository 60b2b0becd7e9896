package promise

import "daisyswitch/standin"

const forceBoundUS = 5 * secondUS // after a configuration was accepted

// configuration counts one observation for each entry that was seen with an accepted version in time.
func configuration(r *Records, result *Result) {
	seen := map[string][]standin.Happening{}
	for _, h := range r.named(standin.ConfigSeen) {
		seen[h.Name] = append(seen[h.Name], h)
	}
	for name, sightings := range seen {
		kept(name, sightings, result)
		for _, accepted := range r.named(standin.ConfigAccepted) {
			r.inForce(name, sightings, accepted, result)
		}
	}
	r.everywhere(seen, result)
}

func kept(name string, sightings []standin.Happening, result *Result) {
	highest := uint64(0)
	for _, s := range sightings {
		if s.Version < highest {
			result.violate("%s went back from version %d to %d", name, highest, s.Version)
		}
		highest = max(highest, s.Version)
	}
}

func (r *Records) inForce(name string, sightings []standin.Happening, accepted standin.Happening, result *Result) {
	for _, s := range sightings {
		late := s.TimeUS > accepted.TimeUS+forceBoundUS
		switch {
		case late && s.Version < accepted.Version && r.cutOff(name, s.TimeUS):
		case late && s.Version < accepted.Version:
			result.violate("%s had version %d still, %d ms after %d was accepted", name, s.Version, (s.TimeUS-accepted.TimeUS)/1000, accepted.Version)
			return
		case !late && s.TimeUS >= accepted.TimeUS && s.Version >= accepted.Version:
			result.Observed++
			return
		}
	}
}

// everywhere holds that every entry that was seen at all and not stopped or killed ends at the highest accepted version.
func (r *Records) everywhere(seen map[string][]standin.Happening, result *Result) {
	highest := uint64(0)
	for _, accepted := range r.named(standin.ConfigAccepted) {
		highest = max(highest, accepted.Version)
	}
	for name, sightings := range seen {
		_, killed := r.first(standin.Killed, name, 0)
		_, stopped := r.first(standin.StopBegan, name, 0)
		last := sightings[len(sightings)-1]
		if !killed && !stopped && last.Version < highest {
			result.violate("%s was last seen with version %d of %d", name, last.Version, highest)
		}
	}
}
