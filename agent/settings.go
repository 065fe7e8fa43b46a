package agent

import (
	_ "embed" // The schema of the settings file.
	"net"
	"time"

	"apricotwinch"
	"apricotwinch/connector"
	"apricotwinch/loader"
	"apricotwinch/messenger"
)

//go:embed settings.schema.json
var schemaData []byte

var schema = loader.MustSchema(schemaData)

// Settings are the contents of an agent's settings file. A period of zero takes
// its default.
type Settings struct {
	Name       string              `json:"name"`
	Region     string              `json:"region"`
	DataCentre string              `json:"dataCentre"`
	Rack       string              `json:"rack"`
	Listen     string              `json:"listen"`
	HTTP       string              `json:"http"`
	Entries    []string            `json:"entries"`
	Worker     string              `json:"worker"`
	Capacity   messenger.Resources `json:"capacity"`

	HomeEntries         int  `json:"homeEntries,omitempty"`
	HeartbeatMillis     int  `json:"heartbeatMillis,omitempty"`
	IdleHeartbeatMillis int  `json:"idleHeartbeatMillis,omitempty"`
	UsageMillis         int  `json:"usageMillis,omitempty"`
	RenewMillis         int  `json:"renewMillis,omitempty"`
	CallTimeoutMillis   int  `json:"callTimeoutMillis,omitempty"`
	WorkerTimeoutMillis int  `json:"workerTimeoutMillis,omitempty"`
	TargetTimeoutMillis int  `json:"targetTimeoutMillis,omitempty"`
	RequestGraceMillis  int  `json:"requestGraceMillis,omitempty"`
	KeepAnswersMillis   int  `json:"keepAnswersMillis,omitempty"`
	DrainMillis         int  `json:"drainMillis,omitempty"`
	SettleMillis        *int `json:"settleMillis,omitempty"`

	SharedKey string           `json:"sharedKey,omitempty"`
	TLS       *connector.Files `json:"tls,omitempty"`
}

// Load reads the settings file at path. It fails with kind Invalid, naming the
// file and the field.
func Load(path string) (Settings, error) {
	var s Settings
	if err := loader.Load(path, schema, &s); err != nil {
		return Settings{}, err
	}
	if err := s.Check(); err != nil {
		return Settings{}, apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", path, err)
	}
	return s, nil
}

// Check returns an error of kind Invalid that names the first wrong field. It
// reads the files that the settings name.
func (s Settings) Check() error {
	required := []struct{ field, value string }{
		{"name", s.Name},
		{"region", s.Region},
		{"dataCentre", s.DataCentre},
		{"rack", s.Rack},
		{"listen", s.Listen},
		{"http", s.HTTP},
		{"worker", s.Worker},
	}
	for _, r := range required {
		if r.value == "" {
			return apricotwinch.Errorf(apricotwinch.Invalid, "%s: is missing", r.field)
		}
	}
	if len(s.Entries) == 0 {
		return apricotwinch.Errorf(apricotwinch.Invalid, "entries: names no entry")
	}
	if c := s.Capacity.Value(); c.Negative() || c.Zero() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "capacity: %s is not the capacity of a host", c)
	}
	if err := checkLoopback("http", s.HTTP); err != nil {
		return err
	}
	security, err := s.security()
	if err != nil {
		return err
	}
	if err := security.CheckListen(s.Listen); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "listen: %w", err)
	}
	return nil
}

func checkLoopback(field, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", field, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "%s: %q is not a loopback address", field, address)
	}
	return nil
}

// millis returns n milliseconds, or standard when n is zero.
func millis(n int, standard time.Duration) time.Duration {
	if n == 0 {
		return standard
	}
	return time.Duration(n) * time.Millisecond
}

// settle returns how long a new agent waits before it starts attempts.
func (s Settings) settle(standard time.Duration) time.Duration {
	if s.SettleMillis == nil {
		return standard
	}
	return time.Duration(*s.SettleMillis) * time.Millisecond
}

// security returns how peers prove who they are.
func (s Settings) security() (connector.Security, error) {
	if s.TLS == nil {
		return connector.NewSecurity(nil, nil, []byte(s.SharedKey)), nil
	}
	server, client, err := s.TLS.Load()
	if err != nil {
		return connector.Security{}, err
	}
	return connector.NewSecurity(server, client, []byte(s.SharedKey)), nil
}
