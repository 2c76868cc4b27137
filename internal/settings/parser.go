package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault describes one fault of a settings file. Line and Column count from 1; they are 0 if the fault has no position,
// as for a missing key.
type Fault struct {
	Line    int
	Column  int
	Key     string // key of the setting at fault, or "file" for the file as a whole
	Message string // what is wrong and how to correct it; the rest of a sentence that starts with Key
}

// String returns the fault as a line of text for the operator.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s %s", f.Key, f.Message)
	}
	return fmt.Sprintf("line %d column %d: %s %s", f.Line, f.Column, f.Key, f.Message)
}

// FaultsError reports all faults of a settings file.
type FaultsError struct {
	Path   string
	Faults []Fault
}

// Error returns the path and the faults, one fault per line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, e.Path+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse parses settings in JSON with comments, sets defaults and returns all faults. The settings are usable only if there are
// no faults.
func Parse(data []byte) (Settings, []Fault) {
	var s Settings
	v, err := hujson.Parse(data)
	if err != nil {
		return s, []Fault{{Key: "file", Message: "is no JSON: " + err.Error() + "; correct the syntax"}}
	}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return s, []Fault{{Line: 1, Column: 1, Key: "file", Message: "is no JSON object; put the settings in braces"}}
	}
	p := parser{data: data, positions: map[string]int{}, fields: fieldsByKey(&s)}
	for i := range obj.Members {
		p.parseMember(&obj.Members[i])
	}
	s.setDefaults()
	s.validate(p.addFault)
	return s, p.faults
}

// parser stores the values of a settings file in fields, and collects the positions of its keys and its faults.
type parser struct {
	data      []byte
	fields    map[string]reflect.Value // fields of Settings by key
	positions map[string]int           // byte offset of the last occurrence of each key
	faults    []Fault
}

// fieldsByKey maps the JSON names of the settings to the fields of s.
func fieldsByKey(s *Settings) map[string]reflect.Value {
	v := reflect.ValueOf(s).Elem()
	out := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		out[v.Type().Field(i).Tag.Get("json")] = v.Field(i)
	}
	return out
}

// parseMember stores the value of one key in its field. Unknown keys, duplicate keys and values of the wrong type are faults.
func (p *parser) parseMember(m *hujson.ObjectMember) {
	key := m.Name.Value.(hujson.Literal).String()
	if _, duplicate := p.positions[key]; duplicate {
		p.positions[key] = m.Name.StartOffset
		p.addFault(key, "is given twice; remove one")
		return
	}
	p.positions[key] = m.Name.StartOffset
	field, ok := p.fields[key]
	if !ok {
		p.addFault(key, "is unknown; remove it or correct the name")
		return
	}
	value := m.Value.Clone()
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), field.Addr().Interface()); err != nil {
		p.addFault(key, "has the wrong type; expected "+expectedType(field.Kind()))
	}
}

// expectedType describes the type of a field in a fault message.
func expectedType(k reflect.Kind) string {
	if k == reflect.String {
		return "a string"
	}
	return "a whole number"
}

// addFault records a fault, with the position of the key if the file contains it.
func (p *parser) addFault(key, message string) {
	f := Fault{Key: key, Message: message}
	if offset, ok := p.positions[key]; ok {
		before := string(p.data[:offset])
		f.Line = strings.Count(before, "\n") + 1
		f.Column = offset - strings.LastIndex(before, "\n")
	}
	p.faults = append(p.faults, f)
}
