package parser

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxNesting is the depth of nested values that encoding/json reads. Deeper files would use up the stack of the parser for comments.
const maxNesting = 10_000

// invalidLiteral precedes the text of an invalid value in errors of hujson.
const invalidLiteral = "invalid literal"

// parseJSON parses JSON with comments.
func parseJSON(data []byte) (hujson.Value, error) {
	if offset, ok := tooDeep(data); ok {
		return hujson.Value{}, newSyntaxError(data, offset, fmt.Sprintf("values are nested deeper than %d", maxNesting))
	}
	v, err := hujson.Parse(data)
	if err == nil {
		return v, nil
	}
	e := &SyntaxError{Line: 1, Column: 1, Message: "the file is no JSON with comments"}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &e.Line, &e.Column); scanErr == nil {
		_, cause, _ := strings.Cut(strings.TrimPrefix(err.Error(), "hujson: "), ": ")
		if before, _, ok := strings.Cut(cause, invalidLiteral); ok {
			cause = before + invalidLiteral // the literal may be a secret
		}
		e.Message += ": " + cause
	}
	return v, e
}

// tooDeep returns the first offset at which more than maxNesting brackets are open. It also counts those in strings and comments, of which no
// file has as many.
func tooDeep(data []byte) (offset int, ok bool) {
	depth := 0
	for i, c := range data {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(depth-1, 0)
		}
		if depth > maxNesting {
			return i, true
		}
	}
	return 0, false
}

// ParseMembers returns the members of the object in a file of JSON with comments.
func ParseMembers(data []byte) (map[string]json.RawMessage, error) {
	v, err := parseJSON(data)
	if err != nil {
		return nil, err
	}
	v.Standardize()
	var members map[string]json.RawMessage
	if err := json.Unmarshal(v.Pack(), &members); err != nil {
		return nil, decodeErrorAt(data, 0, err)
	}
	if members == nil {
		return nil, newSyntaxError(data, 0, "the file holds no object")
	}
	return members, nil
}

// DecodeJSON decodes JSON without comments. Unknown fields are no error; the error has the position in data.
func DecodeJSON(data []byte, out any) error {
	if err := json.Unmarshal(data, out); err != nil {
		return decodeErrorAt(data, 0, err)
	}
	return nil
}

// CheckUTF8 returns an error for the first byte that is no UTF-8, in whose place encoding/json puts another character.
func CheckUTF8(data []byte) error {
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			return newSyntaxError(data, offset, "the file is not in UTF-8, and what is not is replaced by another character")
		}
		offset += size
	}
	return nil
}

// CheckDuplicates returns an error for the first object member whose name is used twice in its object. The known names, given in lower case,
// are compared without regard to case, as encoding/json does. The error leaves out other names, which may be secrets.
func CheckDuplicates(data []byte, known []string) error {
	v, err := parseJSON(data)
	if err != nil {
		return err
	}
	return checkDuplicateNames(data, v, func(name string) (id, shown string) {
		if lower := strings.ToLower(name); slices.Contains(known, lower) {
			return lower, strconv.Quote(name)
		}
		return name, "a member"
	})
}
