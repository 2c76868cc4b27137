package checker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
)

// Severity says what a finding means for the configuration.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"   // the configuration would be refused, or a part of it has no effect or another one than it states
	SeverityWarning Severity = "warning" // the configuration does what it states, which is probably not what is meant
)

// Place names the part of a configuration that a finding is about: an object and its field, or a position in the file.
type Place struct {
	Kind   model.ObjectKind `json:"kind"`
	Name   string           `json:"name,omitempty"`  // empty if the finding is about no single object
	Field  string           `json:"field,omitempty"` // empty if the finding is about the whole object
	Line   int              `json:"line,omitempty"`  // from 1; 0 if the finding has an object
	Column int              `json:"column,omitempty"`
}

// String returns the place in the form KIND NAME: FIELD, or with a line and a column.
func (p Place) String() string {
	s := strings.TrimSpace(string(p.Kind) + " " + p.Name)
	if p.Field != "" {
		s += ": " + p.Field
	}
	if p.Line > 0 {
		s += " line " + strconv.Itoa(p.Line) + " column " + strconv.Itoa(p.Column)
	}
	return s
}

// Finding is a fault or a probable mistake in a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Place
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	return string(f.Severity) + ": " + f.Place.String() + ": " + f.Message + "; " + f.Remedy
}

// Fault returns the finding in the form of the faults of a refused publish.
func (f Finding) Fault() model.ConfigFault {
	field := f.Field
	if f.Line > 0 {
		field = fmt.Sprintf("line %d column %d", f.Line, f.Column)
	}
	return model.ConfigFault{Kind: f.Kind, Name: f.Name, Field: field, Message: f.Message, Remedy: f.Remedy}
}

// Options holds what a configuration is judged by beside its content.
type Options struct {
	Accelerators   int64 // accelerators of the fleet; 0 means unknown
	CompareVersion bool  // whether the version has to be above VersionInForce
	VersionInForce int64
	// LargestBody is the size of the largest body that an entry host can read; 0 means unknown. LargestSureBody is that of a host whose memory is
	// nearly used up.
	LargestBody, LargestSureBody int64
}

// kindFile is the kind of a finding about the file as a whole.
const kindFile model.ObjectKind = "file"

// FindingOf returns the finding for a file that can't be parsed.
func FindingOf(err error) Finding {
	f := Finding{Severity: SeverityError, Place: Place{Kind: kindFile}, Message: err.Error(), Remedy: "correct the file"}
	var syntaxErr *parser.SyntaxError
	if errors.As(err, &syntaxErr) {
		f.Line, f.Column, f.Message = syntaxErr.Line, syntaxErr.Column, syntaxErr.Message
	}
	return f
}

// Strict returns the findings with each warning as an error.
func Strict(findings []Finding) []Finding {
	out := make([]Finding, 0, len(findings))
	for _, f := range findings {
		f.Severity = SeverityError
		out = append(out, f)
	}
	return out
}

// report collects findings.
type report struct{ findings []Finding }

// addError adds an error; format and args make up its message.
func (r *report) addError(p Place, remedy, format string, args ...any) {
	r.findings = append(r.findings, Finding{SeverityError, p, fmt.Sprintf(format, args...), remedy})
}

// addWarning adds a warning; format and args make up its message.
func (r *report) addWarning(p Place, remedy, format string, args ...any) {
	r.findings = append(r.findings, Finding{SeverityWarning, p, fmt.Sprintf(format, args...), remedy})
}

// checkRange adds an error unless v is between low and high, both inclusive.
func (r *report) checkRange(p Place, v, low, high int64) {
	if v < low || v > high {
		r.addError(p, fmt.Sprintf("use a number from %d to %d", low, high), "%d is out of bounds", v)
	}
}

// checkBodyLimit compares the size limit of a body with what an entry host can read. A limit that no host can reach is an error. One that a host
// can't reach whose memory is nearly used up is a warning.
func (r *report) checkBodyLimit(p Place, limit int64, o Options) {
	const remedy = "lower the limit, or give the hosts more memory"
	switch {
	case o.LargestBody > 0 && limit > o.LargestBody:
		r.addError(p, remedy, "bodies of %d bytes are allowed, but a host has memory for at most %d, and refuses larger ones", limit, o.LargestBody)
	case o.LargestSureBody > 0 && limit > o.LargestSureBody:
		r.addWarning(p, remedy, "bodies of %d bytes are allowed, but a host whose memory is nearly used up has memory for only %d", limit, o.LargestSureBody)
	}
}
