package asserter

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against violations that are not counted, or do not end a test.
func TestViolations(t *testing.T) {
	is := is.New(t)
	var a Asserter
	a.Check(true, DoubleStart)
	a.Check(false, WrongAnswer, "request", "r")
	a.Violated(WrongAnswer)
	is.Equal(a.Counts(), map[string]int64{"wrong-answer": 2})
	a.Fatal = true
	defer func() { is.True(recover() != nil) }()
	a.Violated(DoubleStart)
}
