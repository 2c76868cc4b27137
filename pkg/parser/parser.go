package parser

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// SyntaxError is an error at a position in a file; lines and columns are counted from 1.
type SyntaxError struct {
	Line    int
	Column  int
	Message string
}

// Error returns the position, the message and the remedy.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d column %d: %s; correct the file", e.Line, e.Column, e.Message)
}

// ParseConfig parses a configuration. Unknown fields and duplicate member names are errors.
func ParseConfig(data []byte) (model.ConfigSet, error) {
	var set model.ConfigSet
	v, err := parseJSON(data)
	if err != nil {
		return set, err
	}
	if err := checkDuplicateNames(data, v, exactName); err != nil {
		return set, err
	}
	v.Standardize() // replaces comments and trailing commas with blanks, so offsets in error messages stay correct
	plain := v.Pack()
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&set); err != nil {
		return set, decodeErrorAt(data, errorOffset(&v, reflect.TypeOf(set), d), err)
	}
	return set, nil
}

// checkDuplicateNames returns an error for the first object member whose name is used twice in its object; encoding/json
// would silently keep the last one. Names with the same id count as equal; the error has the name as it is shown.
func checkDuplicateNames(data []byte, v hujson.Value, describe func(name string) (id, shown string)) error {
	var duplicate error
	for value := range v.All() {
		obj, ok := value.Value.(*hujson.Object)
		if !ok {
			continue
		}
		seen := make(map[string]bool, len(obj.Members))
		for i := range obj.Members {
			name := obj.Members[i].Name
			literal := name.Value.(hujson.Literal).String()
			id, shown := describe(literal)
			if seen[id] && duplicate == nil {
				duplicate = newSyntaxError(data, name.StartOffset, shown+" is given twice")
			}
			seen[id] = true
		}
	}
	return duplicate
}

// exactName tells all names apart and shows them.
func exactName(name string) (id, shown string) { return name, strconv.Quote(name) }

// errorOffset returns the offset of an error of a decoder that has no position of its own: that of the first unknown member, or what the decoder has
// read.
func errorOffset(v *hujson.Value, t reflect.Type, d *json.Decoder) int64 {
	if offset, ok := findUnknown(v, t); ok {
		return int64(offset)
	}
	return d.InputOffset()
}

// decodeErrorAt converts an error of encoding/json to a SyntaxError. If err has no position of its own, offset is used, which
// is the position of the decoder in data.
func decodeErrorAt(data []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return newSyntaxError(data, int(syntaxErr.Offset)-1, syntaxErr.Error()) // the offset is that after the invalid character
	}
	if errors.As(err, &typeErr) {
		return newSyntaxError(data, int(typeErr.Offset), fmt.Sprintf("%s has the wrong type %s", cmp.Or(typeErr.Field, "the file"), typeErr.Value))
	}
	return newSyntaxError(data, int(offset), err.Error())
}

// newSyntaxError returns a SyntaxError at a byte offset of data.
func newSyntaxError(data []byte, offset int, message string) error {
	before := data[:min(max(offset, 0), len(data))]
	return &SyntaxError{
		Line:    bytes.Count(before, []byte("\n")) + 1,
		Column:  len(before) - bytes.LastIndexByte(before, '\n'),
		Message: message,
	}
}
