package differ

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against differences that are missed, or that are none, such as another order of members or notation of a number.
func TestDiffFields(t *testing.T) {
	for name, c := range map[string]struct {
		old, wanted string // specification of one object; empty for none
		want        []string
	}{
		"equal":            {`{"a":1,"b":{"c":[1, 2]}}`, `{"b":{"c":[1,2]}, "a":1.0}`, nil},
		"added object":     {"", `{"a":1}`, []string{`added class r: {"a":1}`}},
		"removed object":   {`{"a":1}`, "", []string{`removed class r: {"a":1}`}},
		"added field":      {`{"a":1}`, `{"a":1,"b":{"c":"x"}}`, []string{`added class r: b.c: "x"`}},
		"removed field":    {`{"a":1,"b":true}`, `{"a":1}`, []string{`removed class r: b: true`}},
		"changed fields":   {`{"a":1,"b":{"c":[1]}}`, `{"a":2,"b":{"c":[2]}}`, []string{`changed class r: a: 1 -> 2`, `changed class r: b.c: [1] -> [2]`}},
		"large numbers":    {`{"a":9007199254740993}`, `{"a":9007199254740992}`, []string{`changed class r: a: 9007199254740993 -> 9007199254740992`}},
		"value and object": {`{"a":1}`, `{"a":{"b":1}}`, []string{`removed class r: a: 1`, `added class r: a.b: 1`}},
		"names with dots":  {`{"a":{"b":1},"a.b":1}`, `{"a":{"b":2},"a.b":1}`, []string{`changed class r: a.b: 1 -> 2`}},
		"no object":        {`[1]`, `{"a":1}`, []string{`removed class r: [1]`, `added class r: a: 1`}},
		"no objects":       {`null`, `3`, []string{`changed class r: null -> 3`}},
		"empty object":     {`{}`, `{"a":{}}`, []string{`added class r: a: {}`}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, change := range DiffFields(objectsOf(c.old), objectsOf(c.wanted)) {
				got = append(got, change.String())
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// objectsOf returns a configuration with one object, or none if spec is empty.
func objectsOf(spec string) Objects {
	if spec == "" {
		return nil
	}
	return Objects{{Kind: "class", Name: "r"}: json.RawMessage(spec)}
}
