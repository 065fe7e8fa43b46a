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

// Settings is the content of an agent's settings file. A period that is zero or absent takes its
// default value.
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

// Load reads and checks the settings file at path. It fails with kind Invalid and names the file
// and the field.
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

// Check returns an error of kind Invalid that names the first invalid field. It reads the
// certificate files that the settings name.
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
		return apricotwinch.Errorf(apricotwinch.Invalid, "entries: is empty")
	}
	if c := s.Capacity.Value(); c.Negative() || c.Zero() {
		return apricotwinch.Errorf(apricotwinch.Invalid, "capacity: %s is zero or has a negative amount", c)
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

// millisOr returns n milliseconds, or fallback if n is zero.
func millisOr(n int, fallback time.Duration) time.Duration {
	if n == 0 {
		return fallback
	}
	return time.Duration(n) * time.Millisecond
}

// settlePeriod returns how long a new agent waits before it starts attempts, or fallback if the
// settings don't say. Zero is a valid period here.
func (s Settings) settlePeriod(fallback time.Duration) time.Duration {
	if s.SettleMillis == nil {
		return fallback
	}
	return time.Duration(*s.SettleMillis) * time.Millisecond
}

// security returns the TLS configuration and the shared key that authenticate peers.
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
