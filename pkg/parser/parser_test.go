package parser

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against silently ignoring a misspelt or duplicate field, and against errors that name the wrong line.
func TestParseConfigRefusesFaultyFiles(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":  "{\n  // two workspaces\n  \"workspaces\": {\"a\": {\"qouta\": 8}}}",
		"duplicate name": "{\n\n\"workspaces\": {\"a\": {}, \"a\": {}}}",
		"wrong type":     "{\n\n\"workspaces\": {\"a\": {\"quota\": \"8\"}}}",
		"earlier line":   "{\n\n\"workspaces\": {\"a\": {\"qouta\": 8},\n\"b\": {\"quota\": 8}}\n}",
		"syntax":         "{\n\n\"workspaces\" {},\n}",
		"after a list":   "{\"services\": {\"s\": {\n\"classes\": [\"c\"],\n\"slot\": 1,\n\"connections\": 1}}}",
		"unknown kind":   "{\n\n\"workspace\": {}}",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseConfig([]byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "line 3"))
		})
	}
}

// Guards against refusing comments or trailing commas.
func TestParseConfigAcceptsComments(t *testing.T) {
	is := is.New(t)
	set, err := ParseConfig([]byte(`{"workspaces": {"a": {"quota": 8,}, /* last */ },}`))
	is.NoErr(err)
	is.Equal(int(set.Workspaces["a"].Quota), 8)
}

// Guards against a panic on arbitrary input.
func FuzzParseConfig(f *testing.F) {
	f.Add([]byte(`{"workspaces": {"a": {"quota": 8}}}`))
	f.Add([]byte(`{"classes": []}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseConfig(data)
	})
}
