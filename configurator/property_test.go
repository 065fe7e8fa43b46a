package configurator_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"apricotwinch/configurator"
	"apricotwinch/messenger"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// naive is a plain fold over the whole stream.
type naive struct {
	revisions map[string]int64
	values    map[string]string
	seen      map[string]bool
	log       []string
}

var naiveValues = map[string][]string{
	"dataCentres/a":      {`{"region":"r"}`, `{"region":"r","out":true}`},
	"dataCentres/b":      {`{"region":"r"}`},
	"teams/x/services/s": {`{"urgency":"batch","timeoutMillis":5}`, `{"urgency":"batch","timeoutMillis":5,"dataCentres":["a"]}`, `{"urgency":"batch","timeoutMillis":5,"dataCentres":["b"]}`},
	"teams/y/services/s": {`{"urgency":"batch","timeoutMillis":5,"dataCentres":["a","b"]}`},
	"teams/x/access":     {`{"tokenHashes":[]}`},
}

func (n *naive) fold(offset int64, e messenger.EditRecord) {
	accepted := !n.seen[e.Id] && n.allowed(e) && n.revisions[e.Path] == int64(e.Base) && n.fits(e)
	n.seen[e.Id] = true
	n.log = append(n.log, fmt.Sprint(offset, " ", accepted))
	if !accepted {
		return
	}
	n.revisions[e.Path] = offset + 1
	if n.values[e.Path] = string(e.Value); len(e.Value) == 0 {
		delete(n.values, e.Path)
	}
}

func (n *naive) allowed(e messenger.EditRecord) bool {
	return strings.HasPrefix(e.Author, "operators/") || strings.HasPrefix(e.Path, e.Author+"/services/")
}

func (n *naive) fits(e messenger.EditRecord) bool {
	if len(e.Value) == 0 {
		name := strings.TrimPrefix(e.Path, "dataCentres/")
		for _, value := range n.values {
			if name != e.Path && strings.Contains(value, fmt.Sprintf("%q", name)) {
				return false
			}
		}
		return n.values[e.Path] != ""
	}
	for _, name := range []string{"a", "b"} {
		if strings.Contains(string(e.Value), fmt.Sprintf("%q", name)) && n.values["dataCentres/"+name] == "" {
			return false
		}
	}
	return slices.Contains(naiveValues[e.Path], string(e.Value))
}

func (n *naive) entries() []string {
	var all []string
	for path, value := range n.values {
		all = append(all, fmt.Sprint(path, " ", n.revisions[path], " ", value))
	}
	slices.Sort(all)
	return all
}

func entries(v *configurator.View) []string {
	var all []string
	for _, e := range v.Entries("") {
		all = append(all, fmt.Sprint(e.Path(), " ", e.Revision(), " ", string(e.Value())))
	}
	return all
}

// drawEdit draws an edit that is often sensible: a base in force or an old one, a
// value that fits or not, an author with the right or without; or a second copy.
func drawEdit(t *rapid.T, n *naive, earlier []messenger.EditRecord) messenger.EditRecord {
	if len(earlier) > 0 && rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
		return rapid.SampledFrom(earlier).Draw(t, "earlier")
	}
	paths := []string{"dataCentres/a", "dataCentres/b", "teams/x/services/s", "teams/y/services/s", "teams/x/access"}
	path := rapid.SampledFrom(paths).Draw(t, "path")
	base := n.revisions[path]
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = int64(rapid.IntRange(0, 5).Draw(t, "base"))
	}
	value := rapid.SampledFrom(append(naiveValues[path], "", `{"region":5}`)).Draw(t, "value")
	author := rapid.SampledFrom([]string{"operators/o", "operators/p", "teams/x", "teams/y"}).Draw(t, "author")
	return edit(fmt.Sprint("id", len(earlier)), author, path, int(base), value)
}

// TestFoldMatchesNaive holds that the folder reaches the verdicts and state of the
// naive fold, and so does one that starts from a snapshot after a gap.
func TestFoldMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &naive{revisions: map[string]int64{}, values: map[string]string{}, seen: map[string]bool{}}
		folder := configurator.New()
		var stream []messenger.EditRecord
		var got []string
		var earlier []messenger.EditRecord
		next := func(e messenger.EditRecord) {
			offset := int64(len(stream))
			stream = append(stream, e)
			before := folder.View().Revision()
			o := folder.Fold(offset, e)
			if e.Snapshot == nil {
				n.fold(offset, e)
				got = append(got, fmt.Sprint(offset, " ", o.Err() == nil))
			}
			if after := folder.View().Revision(); after <= before {
				t.Fatalf("revision moved from %d to %d", before, after)
			}
		}
		var parts []messenger.SettingsSnapshot
		for range rapid.IntRange(0, 40).Draw(t, "edits") {
			if len(parts) > 0 && rapid.Bool().Draw(t, "append part") {
				next(messenger.EditRecord{Id: fmt.Sprint("s", len(stream)), Author: "e", Snapshot: &parts[0]})
				parts = parts[1:]
				continue
			}
			if len(parts) == 0 && rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				parts = folder.Snapshot(64)
				continue
			}
			e := drawEdit(t, n, earlier)
			earlier = append(earlier, e)
			next(e)
		}
		if diff := cmp.Diff(n.log, got); diff != "" {
			t.Fatalf("verdicts (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(n.entries(), entries(folder.View())); diff != "" {
			t.Fatalf("state (-want +got):\n%s", diff)
		}
		checkRestored(t, folder, stream)
	})
}

// checkRestored folds stream from a drawn offset on; once whole, that folder must
// be in the state of folder.
func checkRestored(t *rapid.T, folder *configurator.Folder, stream []messenger.EditRecord) {
	earliest := rapid.IntRange(0, len(stream)).Draw(t, "earliest")
	restored := configurator.New()
	restored.Gap(int64(earliest))
	for offset, e := range stream[earliest:] {
		data, _ := json.Marshal(e)
		restored.FoldData(int64(earliest+offset), data)
	}
	if !restored.Whole() {
		return
	}
	if diff := cmp.Diff(folder.Snapshot(1<<20), restored.Snapshot(1<<20)); diff != "" {
		t.Fatalf("state from offset %d (-whole +restored):\n%s", earliest, diff)
	}
}

// newFilled returns a folder with leaves services, ten in each team, and the heap
// bytes that each of them takes.
func newFilled(b *testing.B, leaves int) (folder *configurator.Folder, bytesPerLeaf float64) {
	before := heapBytes()
	folder = configurator.New()
	for i := range leaves {
		foldService(b, folder, leaves, 0, i)
	}
	return folder, (heapBytes() - before) / float64(leaves)
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// foldService folds an edit of one of leaves services at offset.
func foldService(b *testing.B, folder *configurator.Folder, leaves, base, offset int) {
	i := offset % leaves
	path := fmt.Sprintf("teams/t%d/services/s%d", i/10, i%10)
	value := fmt.Sprintf(`{"urgency":"batch","timeoutMillis":%d}`, 1+offset%1000)
	if err := folder.Fold(int64(offset), edit(fmt.Sprint(offset), "operators/o", path, base, value)).Err(); err != nil {
		b.Fatal(err)
	}
}

var sizes = []int{1000, 10000, 100000}

func BenchmarkFold(b *testing.B) {
	for _, leaves := range sizes {
		b.Run(fmt.Sprint("leaves=", leaves), func(b *testing.B) {
			folder, bytesPerLeaf := newFilled(b, leaves)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				foldService(b, folder, leaves, i+1, leaves+i)
				folder.View()
			}
			b.ReportMetric(bytesPerLeaf, "heap-B/leaf")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, leaves := range sizes {
		b.Run(fmt.Sprint("leaves=", leaves), func(b *testing.B) {
			folder, _ := newFilled(b, leaves)
			size, parts := 0, 0
			b.ResetTimer()
			for range b.N {
				size, parts = 0, 0
				for _, part := range folder.Snapshot(512 << 10) {
					data, _ := json.Marshal(messenger.EditRecord{Id: "s", Author: "e", Snapshot: &part})
					size += len(data)
					parts++
				}
			}
			b.ReportMetric(float64(size)/float64(leaves), "log-B/leaf")
			b.ReportMetric(float64(parts), "parts")
		})
	}
}

func BenchmarkRecover(b *testing.B) {
	for _, leaves := range sizes {
		b.Run(fmt.Sprint("leaves=", leaves), func(b *testing.B) {
			folder, _ := newFilled(b, leaves)
			var records [][]byte
			for _, part := range folder.Snapshot(512 << 10) {
				data, _ := json.Marshal(messenger.EditRecord{Id: "s", Author: "e", Snapshot: &part})
				records = append(records, data)
			}
			b.ResetTimer()
			for range b.N {
				restored := configurator.New()
				restored.Gap(int64(leaves))
				for i, data := range records {
					restored.FoldData(int64(leaves+i), data)
				}
				if !restored.Whole() {
					b.Fatal("not whole")
				}
			}
		})
	}
}
