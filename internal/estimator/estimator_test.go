package estimator

import (
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
)

// TestQuantile guards against trust in declared run times when better ones are known.
func TestQuantile(t *testing.T) {
	is := is.New(t)
	var e Estimator
	is.Equal(e.Quantile("a", "c", 0.5, 0), Default)
	is.Equal(e.Quantile("a", "c", 0.5, 1500), 1500*time.Millisecond)
	for i := range trusted - 1 {
		e.Learn("a", "c", time.Duration(i+1)*time.Minute)
	}
	is.Equal(e.Quantile("a", "c", 0.5, 1500), 1500*time.Millisecond) // too few samples
	for i := range 2 * samples {
		e.Learn("a", "c", time.Duration(2*samples-i)*time.Second)
	}
	is.Equal(e.Quantile("a", "c", 0.5, 1500), samples/2*time.Second) // old samples are gone
	is.Equal(e.Quantile("a", "c", 1, 1500), samples*time.Second)
	is.Equal(e.Quantile("a", "other", 0.5, 1500), 1500*time.Millisecond)
}

// TestBounded guards against memory that grows with the number of workspaces.
func TestBounded(t *testing.T) {
	is := is.New(t)
	var e Estimator
	for i := range 3 * maxKeys {
		for range trusted {
			e.Learn(model.WorkspaceID(fmt.Sprint(i)), "c", time.Second)
		}
	}
	is.Equal(len(e.keys), maxKeys)
	is.Equal(e.Quantile(model.WorkspaceID(fmt.Sprint(3*maxKeys-1)), "c", 0.5, 0), time.Second)
}
