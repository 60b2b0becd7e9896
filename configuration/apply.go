package configuration

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Limits of a configuration.
const (
	MaxNameBytes  = 63
	MaxClasses    = 1000
	MaxTeams      = 1000
	MaxDomains    = 100
	MaxP99US      = 60_000_000    // one minute in microseconds
	MaxVolume     = 1_000_000_000 // tasks per day
	MinutesPerDay = 24 * 60
)

// ErrNoOperation is returned for a change without an operation.
var ErrNoOperation = errors.New("the change holds no operation")

// Usage has the functions that return how many unfinished jobs use a class or team.
type Usage struct {
	Class func(name string) int
	Team  func(name string) int
}

// CheckName returns why s is not a valid name, nil if it is valid.
func CheckName(s string) error {
	if s == "" {
		return errors.New("a name is empty")
	}
	if len(s) > MaxNameBytes {
		return fmt.Errorf("name %.16q… is longer than %d bytes", s, MaxNameBytes)
	}
	for i, c := range []byte(s) {
		if !isNameByte(c, i == 0) {
			return fmt.Errorf("name %q: only letters, digits and inner . _ - are allowed", s)
		}
	}
	return nil
}

// Truncate truncates a text to at most the given number of bytes plus an ellipsis, so that stored texts from outside stay bounded.
// The result is valid UTF-8 if s is.
func Truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "…"
}

func isNameByte(c byte, first bool) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	case c == '.', c == '_', c == '-':
		return !first
	}
	return false
}

// Apply returns the configuration after a change, with the next version. The error says why the change is invalid.
func Apply(c *wire.Configuration, change *wire.Change, usage Usage) (*wire.Configuration, error) {
	next := &wire.Configuration{Version: c.Version + 1, Classes: c.Classes, Teams: c.Teams, Domains: c.Domains}
	var err error
	switch o := change.Operation.(type) {
	case *wire.Change_PutClass:
		next.Classes, err = putClass(c.Classes, o.PutClass, usage)
	case *wire.Change_RemoveClass:
		next.Classes, err = remove(c.Classes, "class", o.RemoveClass, usage.Class)
	case *wire.Change_PutTeam:
		next.Teams, err = putTeam(c.Teams, o.PutTeam)
	case *wire.Change_RemoveTeam:
		next.Teams, err = remove(c.Teams, "team", o.RemoveTeam, usage.Team)
	case *wire.Change_SetDomain:
		next.Domains, err = setDomain(c.Domains, o.SetDomain)
	default:
		err = ErrNoOperation
	}
	if err != nil {
		return nil, err
	}
	return next, nil
}

func putClass(classes []*wire.Class, class *wire.Class, usage Usage) ([]*wire.Class, error) {
	if err := checkClass(class); err != nil {
		return nil, err
	}
	old := Class(classes, class.Name)
	if old != nil && old.Kind != class.Kind && usage.Class(class.Name) > 0 {
		return nil, fmt.Errorf("class %s has %d jobs that have not ended; its kind stays", class.Name, usage.Class(class.Name))
	}
	return put(classes, class, MaxClasses)
}

func checkClass(c *wire.Class) error {
	if err := CheckName(c.GetName()); err != nil {
		return err
	}
	switch c.Kind {
	case wire.ClassKind_CLASS_KIND_SERVICE:
		return checkService(c)
	case wire.ClassKind_CLASS_KIND_BATCH:
		return checkBatch(c)
	}
	return fmt.Errorf("class %s is neither a service nor batch", c.Name)
}

func checkService(c *wire.Class) error {
	if c.TargetP99Us <= 0 || c.TargetP99Us > MaxP99US {
		return fmt.Errorf("class %s: a service's target_p99_us lies between 1 and %d", c.Name, MaxP99US)
	}
	if c.TargetVolume != 0 || c.DueMinute != 0 {
		return fmt.Errorf("class %s: a service has no volume", c.Name)
	}
	return nil
}

func checkBatch(c *wire.Class) error {
	if c.TargetVolume <= 0 || c.TargetVolume > MaxVolume {
		return fmt.Errorf("class %s: a batch class's target_volume lies between 1 and %d", c.Name, MaxVolume)
	}
	if c.DueMinute < 0 || c.DueMinute >= MinutesPerDay {
		return fmt.Errorf("class %s: due_minute lies between 0 and %d", c.Name, MinutesPerDay-1)
	}
	if c.TargetP99Us != 0 {
		return fmt.Errorf("class %s: a batch class has no latency target", c.Name)
	}
	return nil
}

func putTeam(teams []*wire.Team, team *wire.Team) ([]*wire.Team, error) {
	if err := CheckName(team.GetName()); err != nil {
		return nil, err
	}
	if !resource.FromWire(team.Quota).Valid() {
		return nil, fmt.Errorf("team %s: the quota is empty or below zero", team.Name)
	}
	return put(teams, team, MaxTeams)
}

func setDomain(domains []*wire.Domain, domain *wire.Domain) ([]*wire.Domain, error) {
	if err := CheckName(domain.GetName()); err != nil {
		return nil, err
	}
	return put(domains, domain, MaxDomains)
}

// Class returns the class with the given name, nil if there is none.
func Class(classes []*wire.Class, name string) *wire.Class {
	return find(classes, name)
}

// Team returns the team with the given name, nil if there is none.
func Team(teams []*wire.Team, name string) *wire.Team {
	return find(teams, name)
}

// Domain returns the failure domain with the given name, nil if there is none.
func Domain(domains []*wire.Domain, name string) *wire.Domain {
	return find(domains, name)
}

type named interface {
	comparable
	GetName() string
}

func search[T named](items []T, name string) (int, bool) {
	return slices.BinarySearchFunc(items, name, func(x T, n string) int { return cmp.Compare(x.GetName(), n) })
}

func find[T named](items []T, name string) T {
	var none T
	at, found := search(items, name)
	if !found {
		return none
	}
	return items[at]
}

// put returns a copy of items, ordered by name, in which x is added or replaces the item of the same name.
func put[T named](items []T, x T, limit int) ([]T, error) {
	at, found := search(items, x.GetName())
	next := slices.Clone(items)
	if found {
		next[at] = x
		return next, nil
	}
	if len(items) >= limit {
		return nil, fmt.Errorf("there are %d already, the most that are kept", limit)
	}
	return slices.Insert(next, at, x), nil
}

func remove[T named](items []T, kind, name string, users func(string) int) ([]T, error) {
	at, found := search(items, name)
	if !found {
		return nil, fmt.Errorf("there is no %s %q", kind, name)
	}
	if n := users(name); n > 0 {
		return nil, fmt.Errorf("%s %s has %d jobs that have not ended", kind, name, n)
	}
	return slices.Delete(slices.Clone(items), at, at+1), nil
}
