package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one fault of a settings file; line and column count from 1, 0 means the file as a whole.
type Fault struct {
	Line   int
	Column int
	Key    string
	Text   string
}

// String formats the fault for a terminal.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s %s", f.Key, f.Text)
	}
	return fmt.Sprintf("line %d column %d: %s %s", f.Line, f.Column, f.Key, f.Text)
}

// FaultsError lists all faults of a settings file.
type FaultsError struct {
	Path   string
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, e.Path+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads settings from JSON with comments and returns all faults.
func Parse(data []byte) (Settings, []Fault) {
	var s Settings
	v, err := hujson.Parse(data)
	if err != nil {
		return s, []Fault{{Key: "file", Text: "is no JSON: " + err.Error() + "; correct the syntax"}}
	}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return s, []Fault{{Line: 1, Column: 1, Key: "file", Text: "is no JSON object; put the settings in braces"}}
	}
	p := parser{data: data, positions: map[string]int{}, fields: fieldsOf(&s)}
	for i := range obj.Members {
		p.member(&obj.Members[i])
	}
	s.setDefaults()
	s.check(p.report)
	return s, p.faults
}

type parser struct {
	data      []byte
	fields    map[string]reflect.Value
	positions map[string]int // offset of each key seen
	faults    []Fault
}

// fieldsOf maps the JSON names of the settings to their fields.
func fieldsOf(s *Settings) map[string]reflect.Value {
	v := reflect.ValueOf(s).Elem()
	out := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		out[v.Type().Field(i).Tag.Get("json")] = v.Field(i)
	}
	return out
}

func (p *parser) member(m *hujson.ObjectMember) {
	key := m.Name.Value.(hujson.Literal).String()
	if _, again := p.positions[key]; again {
		p.positions[key] = m.Name.StartOffset
		p.report(key, "is given twice; remove one")
		return
	}
	p.positions[key] = m.Name.StartOffset
	field, ok := p.fields[key]
	if !ok {
		p.report(key, "is unknown; remove it or correct the name")
		return
	}
	value := m.Value.Clone()
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), field.Addr().Interface()); err != nil {
		p.report(key, "has the wrong type; expected "+typeName(field.Kind()))
	}
}

func typeName(k reflect.Kind) string {
	if k == reflect.String {
		return "a string"
	}
	return "a whole number"
}

func (p *parser) report(key, text string) {
	f := Fault{Key: key, Text: text}
	if off, ok := p.positions[key]; ok {
		before := string(p.data[:off])
		f.Line = strings.Count(before, "\n") + 1
		f.Column = off - strings.LastIndex(before, "\n")
	}
	p.faults = append(p.faults, f)
}
