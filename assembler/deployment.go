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
var bundled embed.FS

var schema = loader.MustSchema(schemaData)

// Deployment describes a deployment: its data centres, hosts and entries, one service
// and the work of one team.
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

// Service describes the service of a deployment; every host runs one target of it.
type Service struct {
	Name          string              `json:"name"`
	Urgency       string              `json:"urgency"`
	TimeoutMillis int                 `json:"timeoutMillis"`
	Slots         int                 `json:"slots"`
	Connections   int                 `json:"connections"`
	LatencyMillis int                 `json:"latencyMillis"`
	Reserved      messenger.Resources `json:"reserved"`
}

// Requests describes the request load on the service.
type Requests struct {
	Label     string  `json:"label"`
	PerSecond float64 `json:"perSecond"`
	Keyed     bool    `json:"keyed"`
}

// BundledNames returns the sorted names of the deployments embedded in the program.
func BundledNames() []string {
	files, _ := fs.Glob(bundled, "deployments/*.json")
	names := make([]string, len(files))
	for i, file := range files {
		names[i] = strings.TrimSuffix(path.Base(file), ".json")
	}
	slices.Sort(names)
	return names
}

// Load returns the embedded deployment called name; when there is none, it reads the
// deployment from the file at path name. It fails with kind Invalid, naming the file and
// the field, when the deployment breaks the schema, and otherwise as loader.Load.
func Load(name string) (Deployment, error) {
	var d Deployment
	if !slices.Contains(BundledNames(), name) {
		err := loader.Load(name, schema, &d)
		return d, err
	}
	file := "deployments/" + name + ".json"
	data, err := bundled.ReadFile(file)
	if err != nil {
		return d, apricotwinch.Errorf(apricotwinch.Internal, "%s: %w", file, err)
	}
	err = schema.Decode(file, data, &d)
	return d, err
}
