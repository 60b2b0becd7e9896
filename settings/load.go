package settings

import (
	"fmt"
	"os"
	"reflect"

	"github.com/tailscale/hujson"
)

// The roles that a settings file can be for.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleMember  = "member"
	RoleGateway = "gateway"
)

// roleKeys tells the roles apart; an entry's keys are looked for first.
var roleKeys = []struct {
	role string
	keys []string
}{
	{RoleMember, []string{"announcements", "losses"}},
	{RoleGateway, []string{"clients"}},
	{RoleEntry, []string{"callers", "platform", "operators", "entries", "limits"}},
	{RoleControl, []string{"id", "data"}},
}

// LoadEntry reads the settings of an entry; its error is an *Error with every fault, or says why the file can't be read.
func LoadEntry(path string) (*Entry, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseEntry(path, source)
}

// LoadControl reads the settings of a control process; its error is an *Error with every fault, or says why the file can't be read.
func LoadControl(path string) (*Control, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseControl(path, source)
}

// ParseEntry reads the settings of an entry from source, naming file in its errors.
func ParseEntry(file string, source []byte) (*Entry, error) {
	e := &Entry{}
	r, err := load(file, source, reflect.ValueOf(e).Elem())
	if err != nil {
		return nil, err
	}
	r.entry(e)
	if err := r.result(file); err != nil {
		return nil, err
	}
	return e, nil
}

// ParseControl reads the settings of a control process from source, naming file in its errors.
func ParseControl(file string, source []byte) (*Control, error) {
	c := &Control{}
	r, err := load(file, source, reflect.ValueOf(c).Elem())
	if err != nil {
		return nil, err
	}
	r.control(c)
	if err := r.result(file); err != nil {
		return nil, err
	}
	return c, nil
}

// LoadMember reads the settings of a control process that is found through seeds; its error is an *Error with every fault, or says why the file can't be read.
func LoadMember(path string) (*Member, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseMember(path, source)
}

// LoadGateway reads the settings of a gateway; its error is an *Error with every fault, or says why the file can't be read.
func LoadGateway(path string) (*Gateway, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseGateway(path, source)
}

// ParseMember reads the settings of a control process that is found through seeds, naming file in its errors.
func ParseMember(file string, source []byte) (*Member, error) {
	m := &Member{}
	r, err := load(file, source, reflect.ValueOf(m).Elem())
	if err != nil {
		return nil, err
	}
	r.groupMember(m)
	if err := r.result(file); err != nil {
		return nil, err
	}
	return m, nil
}

// ParseGateway reads the settings of a gateway, naming file in its errors.
func ParseGateway(file string, source []byte) (*Gateway, error) {
	g := &Gateway{}
	r, err := load(file, source, reflect.ValueOf(g).Elem())
	if err != nil {
		return nil, err
	}
	r.gateway(g)
	if err := r.result(file); err != nil {
		return nil, err
	}
	return g, nil
}

func load(file string, source []byte, into reflect.Value) (*reader, error) {
	root, object, fault := parse(source)
	if fault != nil {
		return nil, &Error{File: file, Faults: []Fault{*fault}}
	}
	r := &reader{source: source, lines: map[string]int{"": lineAt(source, root.StartOffset)}}
	r.object("", object, into)
	return r, nil
}

func (r *reader) result(file string) error {
	if len(r.faults) == 0 {
		return nil
	}
	sortFaults(r.faults)
	return &Error{File: file, Faults: r.faults}
}

// Check reads a settings file of either role without starting anything, and returns the role that its keys tell.
func Check(path string) (role string, err error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	_, object, fault := parse(source)
	if fault != nil {
		return "", &Error{File: path, Faults: []Fault{*fault}}
	}
	switch role = roleOf(object); role {
	case RoleEntry:
		_, err = ParseEntry(path, source)
	case RoleControl:
		_, err = ParseControl(path, source)
	case RoleMember:
		_, err = ParseMember(path, source)
	case RoleGateway:
		_, err = ParseGateway(path, source)
	default:
		err = &Error{File: path, Faults: []Fault{{Line: 1, Text: "no key tells the role", Allowed: "callers, platform and operators for an entry, or id and data for a control process"}}}
	}
	return role, err
}

func roleOf(object *hujson.Object) string {
	present := map[string]bool{}
	for i := range object.Members {
		present[object.Members[i].Name.Value.(hujson.Literal).String()] = true
	}
	for _, candidate := range roleKeys {
		for _, key := range candidate.keys {
			if present[key] {
				return candidate.role
			}
		}
	}
	return ""
}
