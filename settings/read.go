package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// reader fills a struct from a parsed file and collects all faults.
type reader struct {
	source []byte
	faults []Fault
	lines  map[string]int // line of each key in the file, by path
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// parse returns the file's top-level object, or the fault that prevents parsing.
func parse(source []byte) (*hujson.Value, *hujson.Object, *Fault) {
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, nil, syntaxFault(err)
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, nil, &Fault{Line: lineAt(source, root.StartOffset), Text: "the top-level value is not an object", Allowed: "one object in braces"}
	}
	return &root, object, nil
}

var syntaxPattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

func syntaxFault(err error) *Fault {
	parts := syntaxPattern.FindStringSubmatch(err.Error())
	if parts == nil {
		return &Fault{Line: 1, Text: err.Error()}
	}
	line, _ := strconv.Atoi(parts[1])
	return &Fault{Line: line, Text: "column " + parts[2] + ": " + parts[3], Allowed: "JSON with comments"}
}

func lineAt(source []byte, offset int) int {
	return 1 + bytes.Count(source[:min(offset, len(source))], []byte{'\n'})
}

func (r *reader) addFault(line int, key, text, allowed string) {
	r.faults = append(r.faults, Fault{Line: line, Key: key, Text: text, Allowed: allowed})
}

// lineOf returns the line of a key, or of the closest enclosing key if the file does not contain it.
func (r *reader) lineOf(key string) int {
	for key != "" {
		if line, ok := r.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return r.lines[""]
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fields returns the fields of a struct by key, including those of embedded structs.
func fields(into reflect.Value) ([]string, map[string]reflect.Value) {
	var order []string
	byKey := map[string]reflect.Value{}
	for i := range into.NumField() {
		field := into.Type().Field(i)
		if field.Anonymous {
			keys, embedded := fields(into.Field(i))
			order = append(order, keys...)
			for key, value := range embedded {
				byKey[key] = value
			}
			continue
		}
		key := field.Tag.Get("json")
		order = append(order, key)
		byKey[key] = into.Field(i)
	}
	return order, byKey
}

// object fills the struct into from the members of an object. The argument members is nil if the file does not contain the object.
func (r *reader) object(path string, members *hujson.Object, into reflect.Value) {
	order, byKey := fields(into)
	seen := map[string]bool{}
	if members != nil {
		for i := range members.Members {
			r.member(path, &members.Members[i], order, byKey, seen)
		}
	}
	for _, key := range order {
		if !seen[key] {
			r.applyDefault(joinKey(path, key), byKey[key])
		}
	}
}

func (r *reader) member(path string, m *hujson.ObjectMember, order []string, byKey map[string]reflect.Value, seen map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	key := joinKey(path, name)
	line := lineAt(r.source, m.Name.StartOffset)
	into, known := byKey[name]
	switch {
	case !known:
		r.addFault(line, key, "unknown key", strings.Join(order, ", "))
	case seen[name]:
		r.addFault(line, key, fmt.Sprintf("duplicate key, first used on line %d", r.lines[key]), "")
	default:
		seen[name] = true
		r.lines[key] = line
		r.value(key, line, &m.Value, into)
	}
}

func (r *reader) value(key string, line int, v *hujson.Value, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		r.text(key, line, v, into)
	case reflect.Int64, reflect.Uint64:
		r.number(key, line, v, into)
	case reflect.Slice:
		r.list(key, line, v, into)
	case reflect.Struct:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			r.addFault(line, key, "is "+kindOf(v), "an object in braces")
			return
		}
		r.object(key, object, into)
	}
}

func (r *reader) text(key string, line int, v *hujson.Value, into reflect.Value) {
	rule := textRules[key[strings.LastIndex(key, ".")+1:]]
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		r.addFault(line, key, "is "+kindOf(v), rule.allowed)
		return
	}
	into.SetString(literal.String())
	if !rule.valid(literal.String()) {
		r.addFault(line, key, fmt.Sprintf("is %q", literal.String()), rule.allowed)
	}
}

func (r *reader) number(key string, line int, v *hujson.Value, into reflect.Value) {
	rule := numberRules[indexPattern.ReplaceAllString(key, "[]")]
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		r.addFault(line, key, "is "+kindOf(v), rule.allowed())
		return
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || number < rule.Min || number > rule.Max {
		r.addFault(line, key, "is "+string(literal), rule.allowed())
		return
	}
	setNumber(into, number)
}

func setNumber(into reflect.Value, number int64) {
	if into.Kind() == reflect.Uint64 {
		into.SetUint(uint64(number))
		return
	}
	into.SetInt(number)
}

func (r *reader) list(key string, line int, v *hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.addFault(line, key, "is "+kindOf(v), "a list of objects")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		element := &array.Elements[i]
		path := fmt.Sprintf("%s[%d]", key, i)
		r.lines[path] = lineAt(r.source, element.StartOffset)
		r.value(path, r.lines[path], element, into.Index(i))
	}
}

// applyDefault sets a key that the file omits to its default, or reports a required key as missing.
func (r *reader) applyDefault(key string, into reflect.Value) {
	rule, numeric := numberRules[indexPattern.ReplaceAllString(key, "[]")]
	switch {
	case into.Kind() == reflect.Struct:
		r.object(key, nil, into)
	case numeric && !rule.Required:
		setNumber(into, rule.Default)
	case numeric:
		r.addFault(r.lineOf(key), key, "is missing", rule.allowed())
	case into.Kind() == reflect.String && textRules[key].optional:
		return
	case into.Kind() == reflect.String:
		r.addFault(r.lineOf(key), key, "is missing", textRules[key[strings.LastIndex(key, ".")+1:]].allowed)
	}
}

func kindOf(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}
