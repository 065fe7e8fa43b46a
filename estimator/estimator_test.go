package estimator_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"apricotwinch"
	"apricotwinch/estimator"
)

func TestEvidenceDecaysToTheDeclaration(t *testing.T) {
	config := estimator.DefaultConfig()
	e := estimator.New(config)
	declared := amount(4000, 1000, 0)
	observe(e, 200, amount(1000, 500, 0), declared, epoch)
	fresh := e.Size(epoch, routes, declared).ProcessorMillis()
	stale := e.Size(epoch.Add(10*config.HalfLife), routes, declared).ProcessorMillis()
	if fresh > 1200 {
		t.Errorf("fresh size %dm, want about 1000m", fresh)
	}
	if stale < 4000 {
		t.Errorf("stale size %dm, want the declared 4000m", stale)
	}
}

// TestSaturatedUseGrows runs tasks that need three times what was declared, each
// held down to what it is granted: a few rounds raise the size to the truth, none
// by more than the growth.
func TestSaturatedUseGrows(t *testing.T) {
	const (
		declared = 1000
		truth    = 3 * declared
		rounds   = 8
	)
	config := estimator.DefaultConfig()
	e := estimator.New(config)
	size := amount(declared, 1000, 0)
	for range rounds {
		observe(e, 20, amount(min(truth, size.ProcessorMillis()), 500, 0), size, epoch)
		next := e.Size(epoch, routes, amount(declared, 1000, 0))
		if grown := float64(next.ProcessorMillis()) / float64(size.ProcessorMillis()); grown > config.Growth*1.08 {
			t.Errorf("size grows from %s to %s at once", size, next)
		}
		size = next
	}
	if size.ProcessorMillis() < truth {
		t.Errorf("size %s after %d rounds, want at least %dm", size, rounds, truth)
	}
}

// TestSizeSettles runs tasks of a true size under whatever the estimator grants
// and declares another one. After a first part, no size is far from the truth.
func TestSizeSettles(t *testing.T) {
	const (
		truth   = 2000
		samples = 400
		settled = 100
	)
	for _, declared := range []int64{600, 1900, 2000, 2100, 6000} {
		e := estimator.New(estimator.DefaultConfig())
		random := rand.New(rand.NewPCG(1, 1))
		for n := range samples {
			size := e.Size(epoch, routes, amount(declared, 1000, 0))
			if got := size.ProcessorMillis(); n >= settled && (got < truth || got > truth*5/4) {
				t.Errorf("declared %dm: size %d is %dm, want %dm to %dm", declared, n, got, truth, truth*5/4)
				break
			}
			used := min(size.ProcessorMillis(), int64(truth*(1+0.05*random.NormFloat64())))
			observe(e, 1, amount(used, 500, 0), size, epoch)
		}
	}
}

func TestExhaustedMemoryDoubles(t *testing.T) {
	config := estimator.DefaultConfig()
	e := estimator.New(config)
	declared := amount(1000, 1000, 0)
	var got []int64
	for range 2 {
		e.Exhausted(epoch, routes, e.Size(epoch, routes, declared))
		got = append(got, e.Size(epoch, routes, declared).MemoryBytes())
	}
	got = append(got, e.Size(epoch.Add(config.HalfLife), routes, declared).MemoryBytes())
	if diff := cmp.Diff([]int64{2000, 4000, 2200}, got); diff != "" {
		t.Errorf("memory (-want +got):\n%s", diff)
	}
}

func TestOldClassesGoFirst(t *testing.T) {
	config := estimator.DefaultConfig()
	config.MaxClasses = 2
	e := estimator.New(config)
	declared := amount(1000, 10, 0)
	sizeOf := func(name string) int64 {
		return e.Size(epoch, estimator.NewClass("team", name), declared).MemoryBytes()
	}
	for _, name := range []string{"a", "b", "a", "c"} {
		e.Observe(estimator.NewSample(estimator.NewClass("team", name), amount(500, 100, 0), declared, epoch))
	}
	got := []int64{sizeOf("a"), sizeOf("b"), sizeOf("c"), int64(e.Classes())}
	if diff := cmp.Diff([]int64{110, 10, 110, 2}, got); diff != "" {
		t.Errorf("memory (-want +got):\n%s", diff)
	}
}

func TestDecisionTrace(t *testing.T) {
	var trace bytes.Buffer
	e := estimator.New(estimator.DefaultConfig())
	declared := amount(2000, 4000, 0)
	uses := []apricotwinch.Resources{amount(700, 1000, 0), amount(1900, 5000, 0), amount(6000, 3000, 0)}
	for hour := range 24 {
		now := epoch.Add(time.Duration(hour) * time.Hour)
		observe(e, 10, uses[hour/8], amount(8000, 8000, 0), now.Add(-30*time.Second))
		fmt.Fprintf(&trace, "%s used %s size %s\n", now.Format("15:04"), uses[hour/8], e.Size(now, routes, declared))
	}
	goldie.New(t).Assert(t, "trace", trace.Bytes())
}
