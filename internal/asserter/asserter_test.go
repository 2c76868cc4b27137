package asserter

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against violations that are not counted, or that do not panic with PanicOnViolation.
func TestViolations(t *testing.T) {
	is := is.New(t)
	var a Asserter
	a.Assert(true, DoubleStart)
	a.Assert(false, WrongResponse, "request", "r")
	a.RecordViolation(WrongResponse)
	is.Equal(a.ViolationCounts(), map[string]int64{"wrong-answer": 2})
	a.PanicOnViolation = true
	defer func() { is.True(recover() != nil) }()
	a.RecordViolation(DoubleStart)
}
