package assembler

import (
	"embed"
	"encoding/json"
	"io/fs"
	"path"
	"slices"
	"strings"

	"apricotwinch"
	"apricotwinch/loader"
	"apricotwinch/messenger"
)

//go:embed deployment.schema.json
var schemaData []byte

//go:embed deployments/*.json
var ready embed.FS

var schema = loader.MustSchema(schemaData)

// Deployment is what runs in one process: data centres, hosts, entries, one
// service and the work of one team.
type Deployment struct {
	Name           string              `json:"name"`
	Region         string              `json:"region"`
	DataCentres    []string            `json:"dataCentres"`
	Team           string              `json:"team"`
	Entries        int                 `json:"entries"`
	Workers        int                 `json:"workers"`
	WorkersPerRack int                 `json:"workersPerRack"`
	Capacity       messenger.Resources `json:"capacity"`
	Service        Service             `json:"service"`
	Requests       Requests            `json:"requests"`
	Jobs           []messenger.JobSpec `json:"jobs,omitempty"`
	Watches        []json.RawMessage   `json:"watches,omitempty"`
}

// Service is the service that every host of a deployment runs a target of.
type Service struct {
	Name          string              `json:"name"`
	Urgency       string              `json:"urgency"`
	TimeoutMillis int                 `json:"timeoutMillis"`
	Slots         int                 `json:"slots"`
	Connections   int                 `json:"connections"`
	LatencyMillis int                 `json:"latencyMillis"`
	Reserved      messenger.Resources `json:"reserved"`
}

// Requests is the load on the service.
type Requests struct {
	Label     string  `json:"label"`
	PerSecond float64 `json:"perSecond"`
	Keyed     bool    `json:"keyed"`
}

// Ready returns the names of the deployments that come with the program.
func Ready() []string {
	files, _ := fs.Glob(ready, "deployments/*.json")
	names := make([]string, len(files))
	for i, file := range files {
		names[i] = strings.TrimSuffix(path.Base(file), ".json")
	}
	slices.Sort(names)
	return names
}

// Load returns the ready deployment called name, or reads the file at name. It
// fails with kind Invalid, naming the file and the field.
func Load(name string) (Deployment, error) {
	var d Deployment
	if !slices.Contains(Ready(), name) {
		err := loader.Load(name, schema, &d)
		return d, err
	}
	file := "deployments/" + name + ".json"
	data, err := ready.ReadFile(file)
	if err != nil {
		return d, apricotwinch.Errorf(apricotwinch.Internal, "%s: %w", file, err)
	}
	err = schema.Decode(file, data, &d)
	return d, err
}
