package tracker

import (
	"slices"
	"strings"

	"apricotwinch/messenger"
)

// sortedRecords is a list of records sorted by host name.
type sortedRecords []*record

func (r sortedRecords) search(name string) (int, bool) {
	return slices.BinarySearchFunc(r, name, func(rec *record, name string) int {
		return strings.Compare(rec.host.Name(), name)
	})
}

func (r *sortedRecords) insert(rec *record) {
	if at, found := r.search(rec.host.Name()); !found {
		*r = slices.Insert(*r, at, rec)
	}
}

func (r *sortedRecords) remove(rec *record) {
	if at, found := r.search(rec.host.Name()); found {
		*r = slices.Delete(*r, at, at+1)
	}
}

// index holds the present hosts by name and by service.
type index struct {
	present  sortedRecords
	services map[Service]*sortedRecords
}

func newIndex() index { return index{services: map[Service]*sortedRecords{}} }

// add adds a host under its name and the services of its latest heartbeat.
func (idx *index) add(rec *record) {
	idx.present.insert(rec)
	for _, s := range rec.host.Services() {
		idx.addToService(NewService(s.Team, s.Service), rec)
	}
}

func (idx *index) addToService(service Service, rec *record) {
	list := idx.services[service]
	if list == nil {
		list = &sortedRecords{}
		idx.services[service] = list
	}
	list.insert(rec)
}

// remove removes a host from the lists by name and by service.
func (idx *index) remove(rec *record) {
	idx.present.remove(rec)
	idx.removeFromServices(rec, rec.host.Services())
}

func (idx *index) removeFromServices(rec *record, services []messenger.ServiceSummary) {
	for _, s := range services {
		service := NewService(s.Team, s.Service)
		list := idx.services[service]
		if list == nil {
			continue
		}
		list.remove(rec)
		if len(*list) == 0 {
			delete(idx.services, service)
		}
	}
}

// sameServices reports whether two heartbeats list the same services in the same order.
func sameServices(a, b []messenger.ServiceSummary) bool {
	return slices.EqualFunc(a, b, func(s, t messenger.ServiceSummary) bool {
		return s.Service == t.Service && s.Team == t.Team
	})
}
