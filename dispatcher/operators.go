package dispatcher

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"apricotwinch"
	"apricotwinch/authenticator"
	"apricotwinch/configurator"
	"apricotwinch/messenger"
)

// editTimeout bounds the wait until an edit is accepted or rejected.
const editTimeout = 15 * time.Second

func init() {
	register("GET /v1/settings/{path...}", (*Entry).showSettings)
	register("PUT /v1/settings/{path...}", (*Entry).editSettings)
	register("DELETE /v1/settings/{path...}", (*Entry).editSettings)
	register("POST /v1/validate/{path...}", (*Entry).validateSettings)
	register("GET /v1/history/{path...}", (*Entry).showHistory)
	register("POST /v1/data-centres/{name}/out", func(e *Entry, c *call) error { return e.switchDataCentre(c, true) })
	register("POST /v1/data-centres/{name}/back", func(e *Entry, c *call) error { return e.switchDataCentre(c, false) })
	register("GET /v1/hosts", (*Entry).listHosts)
}

// checkReadable returns an error of kind Forbidden unless the caller may read path. A
// team may read its own subtree and its quota.
func (c *call) checkReadable(path string) error {
	if c.caller.IsOperator() {
		return nil
	}
	own := "teams/" + c.caller.Name()
	if path == own || path == "quotas/"+c.caller.Name() || len(path) > len(own) && path[:len(own)+1] == own+"/" {
		return nil
	}
	return apricotwinch.Errorf(apricotwinch.Forbidden, "path: %q is not in the subtree of team %s", path, c.caller.Name())
}

func (e *Entry) showSettings(c *call) error {
	path := c.PathValue("path")
	if err := c.checkReadable(path); err != nil {
		return err
	}
	view := e.settingsStream.current()
	if entry, ok := view.Entry(path); ok || entry.Revision() > 0 {
		writeJSON(c.writer, http.StatusOK, settingsAnswer(entry))
		return nil
	}
	entries := view.Entries(path)
	if len(entries) == 0 && path != "" {
		return apricotwinch.Errorf(apricotwinch.NotFound, "path: %q is not set", path)
	}
	list := messenger.SettingsList{Entries: []messenger.SettingsAnswer{}}
	for _, entry := range entries {
		list.Entries = append(list.Entries, settingsAnswer(entry))
	}
	writeJSON(c.writer, http.StatusOK, list)
	return nil
}

func settingsAnswer(entry configurator.Entry) messenger.SettingsAnswer {
	return messenger.SettingsAnswer{
		Path:     entry.Path(),
		Revision: int(entry.Revision()),
		Value:    entry.Value(),
		Author:   entry.Author(),
	}
}

// readEdit reads the edit of a call, with the caller as its author.
func (c *call) readEdit() (messenger.EditRecord, error) {
	var edit messenger.SettingsEdit
	if err := c.decode(&edit); err != nil {
		return messenger.EditRecord{}, err
	}
	if c.Method == http.MethodDelete && edit.Value != nil {
		return messenger.EditRecord{}, apricotwinch.Errorf(apricotwinch.Invalid, "value: must be absent in a removal")
	}
	if c.Method != http.MethodDelete && edit.Value == nil {
		return messenger.EditRecord{}, apricotwinch.Errorf(apricotwinch.Invalid, "value: is missing")
	}
	return messenger.EditRecord{Path: c.PathValue("path"), Base: edit.Base, Value: edit.Value, Author: c.caller.String()}, nil
}

func (e *Entry) editSettings(c *call) error {
	record, err := c.readEdit()
	if err != nil {
		return err
	}
	return e.applyEdit(c, record)
}

// applyEdit appends an edit. It answers that the edit is accepted only once the
// settings stream shows it in force.
func (e *Entry) applyEdit(c *call, record messenger.EditRecord) error {
	ctx, cancel := context.WithTimeout(c.ctx, editTimeout)
	defer cancel()
	outcome, err := e.settingsStream.edit(ctx, record)
	if err != nil {
		return err
	}
	e.count("settings.accepted")
	writeJSON(c.writer, http.StatusOK, messenger.SettingsAnswer{
		Path:     outcome.Path(),
		Revision: int(outcome.Revision()),
		Value:    outcome.Value(),
		Author:   outcome.Author(),
	})
	return nil
}

func (e *Entry) validateSettings(c *call) error {
	record, err := c.readEdit()
	if err != nil {
		return err
	}
	if err := e.settingsStream.current().Check(record); err != nil {
		return err
	}
	c.writer.WriteHeader(http.StatusNoContent)
	return nil
}

func (e *Entry) showHistory(c *call) error {
	path := c.PathValue("path")
	if err := c.checkReadable(path); err != nil {
		return err
	}
	list := messenger.SettingsList{Entries: []messenger.SettingsAnswer{}}
	for _, outcome := range e.settingsStream.history(path) {
		if outcome.Err() != nil {
			continue
		}
		list.Entries = append(list.Entries, messenger.SettingsAnswer{
			Path:     outcome.Path(),
			Revision: int(outcome.Revision()),
			Value:    outcome.Value(),
			Author:   outcome.Author(),
		})
	}
	writeJSON(c.writer, http.StatusOK, list)
	return nil
}

// switchDataCentre takes a data centre out of service or brings it back. It applies to
// the current revision, so the latest order wins.
func (e *Entry) switchDataCentre(c *call, out bool) error {
	if err := authenticator.CheckOperator(c.caller); err != nil {
		return err
	}
	name := c.PathValue("name")
	centre, ok := e.settingsStream.current().DataCentre(name)
	if !ok {
		return apricotwinch.Errorf(apricotwinch.NotFound, "data centre: %q is not in the settings", name)
	}
	entry, _ := e.settingsStream.current().Entry("dataCentres/" + name)
	value, err := json.Marshal(map[string]any{"region": centre.Region(), "out": out})
	if err != nil {
		return err
	}
	return e.applyEdit(c, messenger.EditRecord{
		Path: entry.Path(), Base: int(entry.Revision()), Value: value, Author: c.caller.String(),
	})
}

func (e *Entry) listHosts(c *call) error {
	writeJSON(c.writer, http.StatusOK, messenger.HostList{Hosts: e.visibleHosts(c)})
	return nil
}

// visibleHosts returns all hosts to an operator, and to a team only the hosts that run
// its services, without the services of other teams.
func (e *Entry) visibleHosts(c *call) []messenger.HostView {
	hosts := e.fleet.hosts()
	if c.caller.IsOperator() {
		return hosts
	}
	visible := make([]messenger.HostView, 0, len(hosts))
	for _, host := range hosts {
		var own []messenger.ServiceSummary
		for _, service := range host.Services {
			if service.Team == c.caller.Name() {
				own = append(own, service)
			}
		}
		if host.Services = own; len(own) > 0 {
			visible = append(visible, host)
		}
	}
	return visible
}
