package parser

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against accepting a faulty job file, which would be submitted in part or without its misspelt fields.
func TestParseJobs(t *testing.T) {
	is := is.New(t)
	specs, err := ParseJobs([]byte(`[{"id": "a", "class": "c", "shape": {"workers": 2, "accelerators": 8}}, /* no id */ {"class": "c"},]`))
	is.NoErr(err)
	is.Equal(len(specs), 2)
	is.Equal(specs[0].Shape.Workers, 2)
	for name, text := range map[string]string{
		"not a list":     "\n\n{\"class\": \"c\"}",
		"empty list":     "\n\n[]",
		"unknown field":  "\n\n[{\"klass\": \"c\"}]",
		"wrong type":     "\n\n[{\"run-ms\": \"soon\"}]",
		"duplicate id":   "\n[{\"id\": \"a\"},\n{\"id\": \"a\"}]",
		"duplicate name": "\n\n[{\"id\": \"a\", \"id\": \"b\"}]",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseJobs([]byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "line 3"))
		})
	}
}

// Guards against a panic on arbitrary input.
func FuzzParseJobs(f *testing.F) {
	f.Add([]byte(`[{"id": "a", "class": "c", "shape": {"workers": 2}}]`))
	f.Add([]byte(`[null, 1, {"payload": {"x": []}}]`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseJobs(data)
	})
}
