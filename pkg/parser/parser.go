package parser

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// SyntaxError is a fault that keeps a file from being read; line and column count from 1.
type SyntaxError struct {
	Line   int
	Column int
	Text   string
}

// Error names the position and the remedy.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d column %d: %s; correct the file", e.Line, e.Column, e.Text)
}

// ParseConfig reads a configuration set strictly: unknown fields and repeated names are errors.
func ParseConfig(data []byte) (model.ConfigSet, error) {
	var set model.ConfigSet
	v, err := hujson.Parse(data)
	if err != nil {
		return set, errors.Wrap(err, "parser: the file is no JSON with comments; correct the syntax")
	}
	if err := checkRepeats(data, v); err != nil {
		return set, err
	}
	v.Standardize() // replaces comments by blanks, so that offsets stay
	plain := v.Pack()
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&set); err != nil {
		return set, located(data, d.InputOffset(), err)
	}
	return set, nil
}

// checkRepeats finds an object that names a member twice; encoding/json would keep the last one silently.
func checkRepeats(data []byte, v hujson.Value) error {
	var found error
	for sub := range v.All() {
		obj, ok := sub.Value.(*hujson.Object)
		if !ok {
			continue
		}
		seen := make(map[string]bool, len(obj.Members))
		for i := range obj.Members {
			name := obj.Members[i].Name
			text := name.Value.(hujson.Literal).String()
			if seen[text] && found == nil {
				found = syntaxError(data, name.StartOffset, fmt.Sprintf("%q is given twice", text))
			}
			seen[text] = true
		}
	}
	return found
}

func located(data []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return syntaxError(data, int(typeErr.Offset), fmt.Sprintf("%s has the wrong type %s", typeErr.Field, typeErr.Value))
	}
	return syntaxError(data, int(offset), err.Error())
}

func syntaxError(data []byte, offset int, text string) error {
	before := data[:min(max(offset, 0), len(data))]
	return &SyntaxError{
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Text:   text,
	}
}
