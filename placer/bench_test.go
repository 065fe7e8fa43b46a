package placer_test

import (
	"fmt"
	"testing"

	"apricotwinch"
	"apricotwinch/placer"
)

const benchDataCentres = 19

// loaded returns a placer whose hosts have all but every spare-th one full.
func loaded(hosts, spare int) *placer.Placer {
	p := placer.New(settled(), 1)
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		p.Join(epoch, name, locality(i, benchDataCentres), worker())
		committed := apricotwinch.NewResources(8000, 30*gib, 0)
		if i%spare != 0 {
			committed = worker()
		}
		p.Update(epoch, name, committed, epoch)
	}
	return p
}

func benchmarkChoose(b *testing.B, spare int) {
	for _, hosts := range []int{10, 100, 1000, 10_000, 24_000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			p := loaded(hosts, spare)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				job := "job-" + string(rune('a'+i%16))
				if _, err := p.Choose(epoch, small(job, i)); err != nil {
					b.Fatal(err)
				}
				p.Release(attempt(job, i))
			}
		})
	}
}

func BenchmarkChooseHalfLoaded(b *testing.B) { benchmarkChoose(b, 1) }

func BenchmarkChooseNearlyFull(b *testing.B) { benchmarkChoose(b, 10) }

// BenchmarkChooseFragmented searches hosts that have either processors or
// memory left, so that the index can't tell that none fits.
func BenchmarkChooseFragmented(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000, 10_000, 24_000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			p := loaded(hosts, 1)
			for i := range hosts {
				committed := apricotwinch.NewResources(16_000, 0, 0)
				if i/benchDataCentres%2 == 0 {
					committed = apricotwinch.NewResources(0, 62*gib, 0)
				}
				p.Update(epoch, fmt.Sprintf("host-%d", i), committed, epoch)
			}
			for i := 0; b.Loop(); i++ {
				if _, err := p.Choose(epoch, small("job", i)); err == nil {
					b.Fatal("placed where nothing fits")
				}
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	p := loaded(24_000, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		committed := apricotwinch.NewResources(int64(i%16)*1000, 30*gib, 0)
		p.Update(epoch, fmt.Sprintf("host-%d", i%24_000), committed, epoch)
	}
}
