package pacer_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotwinch/pacer"
)

// interferences holds the pairs of the tests: render interferes with quotes alone, pack with
// both images.
var interferences = map[[2]string]float64{
	{"quotes", "render"}: 1,
	{"quotes", "pack"}:   0.2,
	{"watch", "pack"}:    0.2,
}

func interference(serving, bestEffort string) float64 {
	return interferences[[2]string{serving, bestEffort}]
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name       string
		serving    []pacer.Serving
		bestEffort []pacer.BestEffort
		want       []int
	}{
		{name: "no serving task", bestEffort: []pacer.BestEffort{{Image: "render"}}, want: []int{100}},
		{name: "headroom for all", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 3}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 100}, {Image: "pack", Pace: 100}}, want: []int{100, 100}},
		{name: "negligible interference", serving: []pacer.Serving{{Image: "watch", Undisturbed: 1}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 50}}, want: []int{100}},
		{name: "the task with more interference is throttled more", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 2}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 100}, {Image: "pack", Pace: 100}}, want: []int{52, 90}},
		{name: "no headroom", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 1.1}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 100}, {Image: "pack", Pace: 100}}, want: []int{0, 0}},
		{name: "over its target for long without known interference", serving: []pacer.Serving{{Image: "watch", Undisturbed: 0.8, Doubtful: true}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 100}}, want: []int{0}},
		{name: "unknown headroom", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 0}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 30}}, want: []int{100}},
		{name: "change too small", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 1.82}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 50}}, want: []int{50}},
		{name: "background", bestEffort: []pacer.BestEffort{{Image: "render", Pace: 100, Background: true}, {Image: "pack", Pace: 100}}, want: []int{4, 100}},
		{name: "background without headroom", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 1.1}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 4, Background: true}}, want: []int{0}},
		{name: "preferred", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 2}}, bestEffort: []pacer.BestEffort{{Image: "render"}, {Image: "pack"}, {Image: "pack", Preferred: true}}, want: []int{33, 87, 100}},
		{name: "preferred with more interference", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 2.3}}, bestEffort: []pacer.BestEffort{{Image: "render", Preferred: true}, {Image: "pack", Pace: 100}}, want: []int{100, 0}},
		{name: "headroom for a part of the preferred", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 1.8}}, bestEffort: []pacer.BestEffort{{Image: "render", Preferred: true}, {Image: "render", Pace: 100}}, want: []int{50, 0}},
		{name: "two preferred", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 2.3}}, bestEffort: []pacer.BestEffort{{Image: "render", Preferred: true}, {Image: "render", Preferred: true}}, want: []int{50, 50}},
		{name: "below the least pace", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 1.32}}, bestEffort: []pacer.BestEffort{{Image: "render", Pace: 50}}, want: []int{0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := pacer.Decide(pacer.DefaultConfig(), test.serving, test.bestEffort, interference)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("paces (-want +got):\n%s", diff)
			}
		})
	}
}

// deployment is what is decided on in a property.
type deployment struct {
	serving    []pacer.Serving
	bestEffort []pacer.BestEffort
	table      map[[2]string]float64
}

func (d *deployment) interference(serving, bestEffort string) float64 {
	return d.table[[2]string{serving, bestEffort}]
}

func drawDeployment(t *rapid.T) *deployment {
	d := &deployment{table: map[[2]string]float64{}}
	for _, serving := range []string{"a", "b"} {
		for _, bestEffort := range []string{"x", "y"} {
			d.table[[2]string{serving, bestEffort}] = rapid.Float64Range(0, 2).Draw(t, serving+bestEffort)
		}
		d.serving = append(d.serving, pacer.Serving{Image: serving, Undisturbed: rapid.Float64Range(0.5, 4).Draw(t, serving)})
	}
	for range rapid.IntRange(0, 6).Draw(t, "tasks") {
		d.bestEffort = append(d.bestEffort, pacer.BestEffort{
			Image: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image"), Preferred: rapid.Bool().Draw(t, "preferred"),
		})
	}
	return d
}

// TestDecideKeepsHeadroom checks that whatever best-effort tasks run, every serving task keeps
// the wanted headroom if it has it alone.
func TestDecideKeepsHeadroom(t *testing.T) {
	config := pacer.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		d := drawDeployment(t)
		paces := pacer.Decide(config, d.serving, d.bestEffort, d.interference)
		for _, s := range d.serving {
			remaining, interfering := s.Undisturbed, 0
			for i, b := range d.bestEffort {
				if p := d.interference(s.Image, b.Image); p >= config.NegligibleInterference {
					remaining -= p * float64(paces[i]) / pacer.FullSpeed
					interfering++
				}
			}
			tolerance := 0.01 * float64(interfering) // A pace is a whole number.
			if remaining < min(s.Undisturbed, config.WantedHeadroom)-tolerance-0.01*float64(len(d.bestEffort)) {
				t.Fatalf("%s keeps %.3f of %.3f with paces %v", s.Image, remaining, s.Undisturbed, paces)
			}
		}
	})
}

// TestDecideThrottlesPreferredLast guards against a preferred task that is throttled for a serving task beside
// which other tasks work on.
func TestDecideThrottlesPreferredLast(t *testing.T) {
	config := pacer.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		d := drawDeployment(t)
		paces := pacer.Decide(config, d.serving, d.bestEffort, d.interference)
		interferes := func(s pacer.Serving, b pacer.BestEffort) bool {
			return d.interference(s.Image, b.Image) >= config.NegligibleInterference
		}
		othersStopped := func(s pacer.Serving) bool {
			for i, b := range d.bestEffort {
				if !b.Preferred && interferes(s, b) && paces[i] > 0 {
					return false
				}
			}
			return true
		}
		for i, b := range d.bestEffort {
			justified := !b.Preferred || paces[i] == pacer.FullSpeed
			for _, s := range d.serving {
				justified = justified || interferes(s, b) && othersStopped(s)
			}
			if !justified {
				t.Fatalf("task %d of %+v is throttled before others: paces %v", i, d.bestEffort, paces)
			}
		}
	})
}

func ExampleDecide() {
	serving := []pacer.Serving{{Image: "quotes", Undisturbed: 1.8}}
	bestEffort := []pacer.BestEffort{{Image: "render", Pace: pacer.FullSpeed}}
	fmt.Println(pacer.Decide(pacer.DefaultConfig(), serving, bestEffort, interference))
	// Output: [50]
}
