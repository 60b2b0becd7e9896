package configuration

import (
	"encoding/json"

	"daisyswitch/resource"
	"daisyswitch/wire"
)

// Description is a change in the form in which the audit trail shows it.
type Description struct {
	Action string // such as "put_class bids"
	Before string // JSON of the object before the change, empty if it did not exist
	After  string // JSON of the object after the change, empty if it was removed
}

type jsonClass struct {
	Name         string `json:"name"`
	Kind         string `json:"kind"`
	TargetP99US  int64  `json:"target_p99_us,omitempty"`
	TargetVolume int64  `json:"target_volume,omitempty"`
	DueMinute    int32  `json:"due_minute,omitempty"`
}

type jsonTeam struct {
	Name  string        `json:"name"`
	Quota resource.Size `json:"quota"`
}

type jsonDomain struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// Describe returns what a change does to c. The text is the same in every process, since it is compared and stored.
func Describe(c *wire.Configuration, change *wire.Change) Description {
	switch o := change.Operation.(type) {
	case *wire.Change_PutClass:
		name := o.PutClass.GetName()
		return Description{"put_class " + name, classJSON(Class(c.Classes, name)), classJSON(o.PutClass)}
	case *wire.Change_RemoveClass:
		return Description{"remove_class " + o.RemoveClass, classJSON(Class(c.Classes, o.RemoveClass)), ""}
	case *wire.Change_PutTeam:
		name := o.PutTeam.GetName()
		return Description{"put_team " + name, teamJSON(Team(c.Teams, name)), teamJSON(o.PutTeam)}
	case *wire.Change_RemoveTeam:
		return Description{"remove_team " + o.RemoveTeam, teamJSON(Team(c.Teams, o.RemoveTeam)), ""}
	case *wire.Change_SetDomain:
		name := o.SetDomain.GetName()
		return Description{"set_domain " + name, domainJSON(Domain(c.Domains, name)), domainJSON(o.SetDomain)}
	}
	return Description{Action: "none"}
}

var kindNames = map[wire.ClassKind]string{
	wire.ClassKind_CLASS_KIND_SERVICE: "service",
	wire.ClassKind_CLASS_KIND_BATCH:   "batch",
}

func classJSON(c *wire.Class) string {
	if c == nil {
		return ""
	}
	return encodeJSON(jsonClass{c.Name, kindNames[c.Kind], c.TargetP99Us, c.TargetVolume, c.DueMinute})
}

func teamJSON(t *wire.Team) string {
	if t == nil {
		return ""
	}
	return encodeJSON(jsonTeam{t.Name, resource.FromWire(t.Quota)})
}

func domainJSON(d *wire.Domain) string {
	if d == nil {
		return ""
	}
	return encodeJSON(jsonDomain{d.Name, d.Out})
}

// encodeJSON encodes structs of strings, numbers and booleans, for which Marshal cannot fail.
func encodeJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
