package tracker

import (
	"slices"
	"strings"

	"apricotwinch/messenger"
)

// roster is a list of records in order of the hosts' names.
type roster []*record

func (r roster) search(name string) (int, bool) {
	return slices.BinarySearchFunc(r, name, func(rec *record, name string) int {
		return strings.Compare(rec.host.Name(), name)
	})
}

func (r *roster) insert(rec *record) {
	if at, found := r.search(rec.host.Name()); !found {
		*r = slices.Insert(*r, at, rec)
	}
}

func (r *roster) remove(rec *record) {
	if at, found := r.search(rec.host.Name()); found {
		*r = slices.Delete(*r, at, at+1)
	}
}

// index holds the present hosts by name and by service.
type index struct {
	present  roster
	services map[Service]*roster
}

func newIndex() index { return index{services: map[Service]*roster{}} }

// add enters a host with the services of its latest heartbeat.
func (x *index) add(rec *record) {
	x.present.insert(rec)
	for _, s := range rec.host.Services() {
		x.addService(NewService(s.Team, s.Service), rec)
	}
}

func (x *index) addService(service Service, rec *record) {
	list := x.services[service]
	if list == nil {
		list = &roster{}
		x.services[service] = list
	}
	list.insert(rec)
}

// remove takes a host out, with the services of its latest heartbeat.
func (x *index) remove(rec *record) {
	x.present.remove(rec)
	x.removeServices(rec, rec.host.Services())
}

func (x *index) removeServices(rec *record, services []messenger.ServiceSummary) {
	for _, s := range services {
		service := NewService(s.Team, s.Service)
		list := x.services[service]
		if list == nil {
			continue
		}
		list.remove(rec)
		if len(*list) == 0 {
			delete(x.services, service)
		}
	}
}

// sameServices reports whether two heartbeats list the same services in order.
func sameServices(a, b []messenger.ServiceSummary) bool {
	return slices.EqualFunc(a, b, func(s, t messenger.ServiceSummary) bool {
		return s.Service == t.Service && s.Team == t.Team
	})
}
