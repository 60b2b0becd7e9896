package settings

import (
	"fmt"
	"os"
	"reflect"

	"github.com/tailscale/hujson"
)

// The roles of processes, each with its own kind of settings file.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleMember  = "member"
	RoleGateway = "gateway"
)

// roleKeys lists the keys that identify each role. The first role with a key in the file is chosen.
var roleKeys = []struct {
	role string
	keys []string
}{
	{RoleMember, []string{"announcements", "losses"}},
	{RoleGateway, []string{"clients"}},
	{RoleEntry, []string{"callers", "platform", "operators", "entries", "limits"}},
	{RoleControl, []string{"id", "data"}},
}

// LoadEntry reads the settings of an entry. Its error is an *Error with every fault, or the error from reading the file.
func LoadEntry(path string) (*Entry, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseEntry(path, source)
}

// LoadControl reads the settings of a control process. Its error is an *Error with every fault, or the error from reading the file.
func LoadControl(path string) (*Control, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseControl(path, source)
}

// ParseEntry parses the settings of an entry from source. The name file appears in its errors.
func ParseEntry(file string, source []byte) (*Entry, error) {
	e := &Entry{}
	r, err := readFields(file, source, reflect.ValueOf(e).Elem())
	if err != nil {
		return nil, err
	}
	r.checkEntry(e)
	if err := r.asError(file); err != nil {
		return nil, err
	}
	return e, nil
}

// ParseControl parses the settings of a control process from source. The name file appears in its errors.
func ParseControl(file string, source []byte) (*Control, error) {
	c := &Control{}
	r, err := readFields(file, source, reflect.ValueOf(c).Elem())
	if err != nil {
		return nil, err
	}
	r.checkControl(c)
	if err := r.asError(file); err != nil {
		return nil, err
	}
	return c, nil
}

// LoadMember reads the settings of a control process that finds its group through seeds. Its error is an *Error with every fault, or the error from reading the file.
func LoadMember(path string) (*Member, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseMember(path, source)
}

// LoadGateway reads the settings of a gateway. Its error is an *Error with every fault, or the error from reading the file.
func LoadGateway(path string) (*Gateway, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseGateway(path, source)
}

// ParseMember parses the settings of a control process that finds its group through seeds. The name file appears in its errors.
func ParseMember(file string, source []byte) (*Member, error) {
	m := &Member{}
	r, err := readFields(file, source, reflect.ValueOf(m).Elem())
	if err != nil {
		return nil, err
	}
	r.checkMember(m)
	if err := r.asError(file); err != nil {
		return nil, err
	}
	return m, nil
}

// ParseGateway parses the settings of a gateway. The name file appears in its errors.
func ParseGateway(file string, source []byte) (*Gateway, error) {
	g := &Gateway{}
	r, err := readFields(file, source, reflect.ValueOf(g).Elem())
	if err != nil {
		return nil, err
	}
	r.checkGateway(g)
	if err := r.asError(file); err != nil {
		return nil, err
	}
	return g, nil
}

func readFields(file string, source []byte, into reflect.Value) (*reader, error) {
	root, object, fault := parse(source)
	if fault != nil {
		return nil, &Error{File: file, Faults: []Fault{*fault}}
	}
	r := &reader{source: source, lines: map[string]int{"": lineAt(source, root.StartOffset)}}
	r.object("", object, into)
	return r, nil
}

func (r *reader) asError(file string) error {
	if len(r.faults) == 0 {
		return nil
	}
	sortFaults(r.faults)
	return &Error{File: file, Faults: r.faults}
}

// CheckFile validates a settings file of any role without starting a process, and returns the role that its keys identify.
func CheckFile(path string) (role string, err error) {
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
		err = &Error{File: path, Faults: []Fault{{Line: 1, Text: "no key identifies the role", Allowed: "callers, platform and operators for an entry, id and data for a control process, announcements for a member, or clients for a gateway"}}}
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
