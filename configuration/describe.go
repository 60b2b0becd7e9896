package configuration

import (
	"encoding/json"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Description is a change as the audit trail shows it.
type Description struct {
	Action string // such as "put_class bids"
	Before string // JSON of the object before, empty if absent
	After  string // JSON of the object after, empty if removed
}

type classText struct {
	Name         string `json:"name"`
	Kind         string `json:"kind"`
	TargetP99US  int64  `json:"target_p99_us,omitempty"`
	TargetVolume int64  `json:"target_volume,omitempty"`
	DueMinute    int32  `json:"due_minute,omitempty"`
}

type teamText struct {
	Name  string        `json:"name"`
	Quota resource.Size `json:"quota"`
}

type domainText struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// Describe returns what a change does to c; its text is the same in every process, so that it may be compared and kept.
func Describe(c *wire.Configuration, change *wire.Change) Description {
	switch o := change.Operation.(type) {
	case *wire.Change_PutClass:
		name := o.PutClass.GetName()
		return Description{"put_class " + name, class(Class(c.Classes, name)), class(o.PutClass)}
	case *wire.Change_RemoveClass:
		return Description{"remove_class " + o.RemoveClass, class(Class(c.Classes, o.RemoveClass)), ""}
	case *wire.Change_PutTeam:
		name := o.PutTeam.GetName()
		return Description{"put_team " + name, team(Team(c.Teams, name)), team(o.PutTeam)}
	case *wire.Change_RemoveTeam:
		return Description{"remove_team " + o.RemoveTeam, team(Team(c.Teams, o.RemoveTeam)), ""}
	case *wire.Change_SetDomain:
		name := o.SetDomain.GetName()
		return Description{"set_domain " + name, domain(Domain(c.Domains, name)), domain(o.SetDomain)}
	}
	return Description{Action: "none"}
}

var kindNames = map[wire.ClassKind]string{
	wire.ClassKind_CLASS_KIND_SERVICE: "service",
	wire.ClassKind_CLASS_KIND_BATCH:   "batch",
}

func class(c *wire.Class) string {
	if c == nil {
		return ""
	}
	return text(classText{c.Name, kindNames[c.Kind], c.TargetP99Us, c.TargetVolume, c.DueMinute})
}

func team(t *wire.Team) string {
	if t == nil {
		return ""
	}
	return text(teamText{t.Name, resource.FromWire(t.Quota)})
}

func domain(d *wire.Domain) string {
	if d == nil {
		return ""
	}
	return text(domainText{d.Name, d.Out})
}

// text encodes plain structs of strings, numbers and booleans, which can't fail.
func text(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
