package pacer_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotwinch/pacer"
)

// presses of the tests: render presses on quotes alone, pack on everything.
var presses = map[[2]string]float64{
	{"quotes", "render"}: 1,
	{"quotes", "pack"}:   0.2,
	{"watch", "pack"}:    0.2,
}

func press(serving, filling string) float64 { return presses[[2]string{serving, filling}] }

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		serving []pacer.Serving
		filling []pacer.Filling
		want    []int
	}{
		{name: "nothing serves", filling: []pacer.Filling{{Image: "render"}}, want: []int{100}},
		{name: "room for all", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 3}}, filling: []pacer.Filling{{Image: "render", Pace: 100}, {Image: "pack", Pace: 100}}, want: []int{100, 100}},
		{name: "a pair that doesn't matter", serving: []pacer.Serving{{Image: "watch", Undisturbed: 1}}, filling: []pacer.Filling{{Image: "render", Pace: 50}}, want: []int{100}},
		{name: "the heavy one is held back more", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 2}}, filling: []pacer.Filling{{Image: "render", Pace: 100}, {Image: "pack", Pace: 100}}, want: []int{52, 90}},
		{name: "no headroom", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 1.1}}, filling: []pacer.Filling{{Image: "render", Pace: 100}, {Image: "pack", Pace: 100}}, want: []int{0, 0}},
		{name: "over its target for long, though nothing is known to press", serving: []pacer.Serving{{Image: "watch", Undisturbed: 0.8, Doubtful: true}}, filling: []pacer.Filling{{Image: "render", Pace: 100}}, want: []int{0}},
		{name: "unknown headroom", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 0}}, filling: []pacer.Filling{{Image: "render", Pace: 30}}, want: []int{100}},
		{name: "hardly a change", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 1.82}}, filling: []pacer.Filling{{Image: "render", Pace: 50}}, want: []int{50}},
		{name: "too slow to be worth it", serving: []pacer.Serving{{Image: "quotes", Undisturbed: 1.32}}, filling: []pacer.Filling{{Image: "render", Pace: 50}}, want: []int{0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := pacer.Decide(pacer.DefaultConfig(), test.serving, test.filling, press)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("paces (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeadroomIsLeft holds that whatever fills, every serving task keeps the wanted
// headroom, if it has it alone.
func TestHeadroomIsLeft(t *testing.T) {
	config := pacer.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		table := map[[2]string]float64{}
		table[[2]string{"a", "x"}] = rapid.Float64Range(0, 2).Draw(t, "ax")
		table[[2]string{"a", "y"}] = rapid.Float64Range(0, 2).Draw(t, "ay")
		table[[2]string{"b", "x"}] = rapid.Float64Range(0, 2).Draw(t, "bx")
		table[[2]string{"b", "y"}] = rapid.Float64Range(0, 2).Draw(t, "by")
		look := func(s, f string) float64 { return table[[2]string{s, f}] }
		serving := []pacer.Serving{
			{Image: "a", Undisturbed: rapid.Float64Range(0.5, 4).Draw(t, "a")},
			{Image: "b", Undisturbed: rapid.Float64Range(0.5, 4).Draw(t, "b")},
		}
		var filling []pacer.Filling
		for range rapid.IntRange(0, 6).Draw(t, "tasks") {
			filling = append(filling, pacer.Filling{Image: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image")})
		}
		paces := pacer.Decide(config, serving, filling, look)
		for _, s := range serving {
			left, heavy := s.Undisturbed, 0
			for i, f := range filling {
				if p := look(s.Image, f.Image); p >= config.Light {
					left -= p * float64(paces[i]) / pacer.Full
					heavy++
				}
			}
			slack := 0.01 * float64(heavy) // A pace is a whole number.
			if left < min(s.Undisturbed, config.Wanted)-slack-0.01*float64(len(filling)) {
				t.Fatalf("%s keeps %.3f of %.3f with paces %v", s.Image, left, s.Undisturbed, paces)
			}
		}
	})
}

func ExampleDecide() {
	serving := []pacer.Serving{{Image: "quotes", Undisturbed: 1.8}}
	filling := []pacer.Filling{{Image: "render", Pace: pacer.Full}}
	fmt.Println(pacer.Decide(pacer.DefaultConfig(), serving, filling, press))
	// Output: [50]
}
