package provisioner

import (
	"maps"
	"slices"
)

// DataCentre is a data centre that urgent work may start in.
type DataCentre struct {
	Capacity     int64
	OutOfService bool
}

// Share is the share of urgent work, 0 to 1, for which a data centre must have room.
type Share struct {
	// Usual is its share among those in service, and AfterLoss that if the largest other one is out of service.
	Usual, AfterLoss float64
}

// Shares returns, by data centre, the shares of work that may start in any of them. They follow the capacities. A
// data centre that is out of service already counts as the one that may be lost, so that its leaving doesn't raise
// what the others must hold after a loss.
func Shares(dataCentres map[string]DataCentre) map[string]Share {
	var all, serving int64
	largest, second := "", int64(0)
	for _, name := range slices.Sorted(maps.Keys(dataCentres)) {
		d := dataCentres[name]
		all += d.Capacity
		if !d.OutOfService {
			serving += d.Capacity
		}
		switch {
		case largest == "" || d.Capacity > dataCentres[largest].Capacity:
			second, largest = dataCentres[largest].Capacity, name
		case d.Capacity > second:
			second = d.Capacity
		}
	}
	shares := map[string]Share{}
	for name, d := range dataCentres {
		lost := dataCentres[largest].Capacity
		if name == largest {
			lost = second
		}
		usual, rest := all, all-lost
		if !d.OutOfService {
			usual, rest = serving, min(rest, serving)
		}
		if rest == 0 {
			rest = all // There is no other data centre.
		}
		if all > 0 {
			shares[name] = Share{Usual: float64(d.Capacity) / float64(usual), AfterLoss: float64(d.Capacity) / float64(rest)}
		}
	}
	return shares
}
