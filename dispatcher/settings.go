package dispatcher

import (
	"crypto/tls"
	_ "embed" // The schema of the settings file.
	"net"
	"time"

	"apricotwinch"
	"apricotwinch/claimer"
	"apricotwinch/connector"
	"apricotwinch/loader"
	"apricotwinch/receiver"
	"apricotwinch/scheduler"
)

//go:embed settings.schema.json
var schemaData []byte

// schema is the schema of an entry's settings file.
var schema = loader.MustSchema(schemaData)

// Settings is the settings file of an entry. An absent field takes its default.
type Settings struct {
	Name              string           `json:"name"`
	Region            string           `json:"region"`
	DataCentre        string           `json:"dataCentre"`
	HTTP              string           `json:"http"`
	Peer              string           `json:"peer"`
	Advertise         string           `json:"advertise,omitempty"`
	Log               string           `json:"log"`
	Partitions        int              `json:"partitions,omitempty"`
	OperatorTokenHash string           `json:"operatorTokenHash"`
	SharedKey         string           `json:"sharedKey,omitempty"`
	TLS               *connector.Files `json:"tls,omitempty"`
	HTTPTLS           *connector.Files `json:"httpTLS,omitempty"`
	Limits            Limits           `json:"limits"`
	Timing            Timing           `json:"timing"`
}

// Limits bounds the resources that callers and peers may use.
type Limits struct {
	BodyBytes       int `json:"bodyBytes,omitempty"`
	HeaderBytes     int `json:"headerBytes,omitempty"`
	ReadMillis      int `json:"readMillis,omitempty"`
	BodyBudgetBytes int `json:"bodyBudgetBytes,omitempty"`
	Connections     int `json:"connections,omitempty"`
	PeerConnections int `json:"peerConnections,omitempty"`
}

// Timing holds the periods and timeouts of an entry in milliseconds; 0 selects the
// default.
type Timing struct {
	ClaimHeartbeatMillis  int  `json:"claimHeartbeatMillis,omitempty"`
	ClaimLeaseMillis      int  `json:"claimLeaseMillis,omitempty"`
	TakeoverMillis        int  `json:"takeoverMillis,omitempty"`
	LeaseMillis           int  `json:"leaseMillis,omitempty"`
	MarginMillis          int  `json:"marginMillis,omitempty"`
	OutageAllowanceMillis *int `json:"outageAllowanceMillis,omitempty"`
	DrainMillis           int  `json:"drainMillis,omitempty"`
}

// Defaults of an entry's settings.
const (
	defaultPartitions  = 16
	defaultBodyBytes   = 1 << 20
	defaultHeaderBytes = 16 << 10
	defaultReadMillis  = 10_000
	// defaultBodyBudgetBytes holds 64 bodies of the default limit at once, and over 1,000 of the usual size.
	defaultBodyBudgetBytes = 64 << 20
	defaultConnections     = 4096
	defaultPeerConnections = 32_768
	defaultClaimHeartbeat  = 2 * time.Second
	defaultClaimLease      = 6 * time.Second
	defaultTakeover        = 9 * time.Second
	defaultDrain           = 20 * time.Second
	// steadyPeriodTakeovers is how many takeover times an entry must have run before
	// partitions are handed over to it.
	steadyPeriodTakeovers = 3
)

// Load reads the settings file at path. It fails with kind Invalid, naming the
// file and the field.
func Load(path string) (Settings, error) {
	var s Settings
	if err := loader.Load(path, schema, &s); err != nil {
		return Settings{}, err
	}
	s = s.withDefaults()
	if err := s.Check(); err != nil {
		return Settings{}, apricotwinch.Errorf(apricotwinch.Invalid, "%s: %w", path, err)
	}
	return s, nil
}

// Check returns an error of kind Invalid that names the first wrong field. It
// reads the files that the settings name.
func (s Settings) Check() error {
	if _, err := s.claimTiming(); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "timing: %w", err)
	}
	security, err := s.security()
	if err != nil {
		return err
	}
	if err := security.CheckListen(s.Peer); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "peer: %w", err)
	}
	if _, _, err := net.SplitHostPort(s.HTTP); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "http: %w", err)
	}
	_, err = s.httpTLS()
	return err
}

// httpTLS returns the TLS settings of the interface to callers, nil for none.
func (s Settings) httpTLS() (*tls.Config, error) {
	if s.HTTPTLS == nil {
		return nil, nil
	}
	server, _, err := s.HTTPTLS.Load()
	if err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "httpTLS: %w", err)
	}
	return server, nil
}

func (s Settings) withDefaults() Settings {
	s.Partitions = orDefault(s.Partitions, defaultPartitions)
	s.Limits.BodyBytes = orDefault(s.Limits.BodyBytes, defaultBodyBytes)
	s.Limits.HeaderBytes = orDefault(s.Limits.HeaderBytes, defaultHeaderBytes)
	s.Limits.ReadMillis = orDefault(s.Limits.ReadMillis, defaultReadMillis)
	s.Limits.BodyBudgetBytes = orDefault(s.Limits.BodyBudgetBytes, max(defaultBodyBudgetBytes, 4*s.Limits.BodyBytes))
	s.Limits.Connections = orDefault(s.Limits.Connections, defaultConnections)
	s.Limits.PeerConnections = orDefault(s.Limits.PeerConnections, defaultPeerConnections)
	return s
}

// smallBodyBytes is the greatest length of a body for which an eighth of the budget is set apart.
const smallBodyBytes = 16 << 10

// Memory for messages of agents and entries that arrive or are handled, in bytes. A request that is passed on
// takes three times its body until it is answered.
const (
	peerBudgetBytes      = 256 << 20
	smallPeerBudgetBytes = 128 << 20
)

// receiver returns the limits of bodies. A body may pause for as long as a whole call may take to arrive.
func (l Limits) receiver() receiver.Config {
	read := time.Duration(l.ReadMillis) * time.Millisecond
	return receiver.Config{
		BodyBudgetBytes: int64(l.BodyBudgetBytes), SmallBodyBudgetBytes: int64(l.BodyBudgetBytes) / 8, SmallBodyBytes: smallBodyBytes,
		BodyTimeout: read, BodyStall: read, BodyMinBytesPerSecond: 1,
	}
}

func orDefault(value, defaultValue int) int {
	if value == 0 {
		return defaultValue
	}
	return value
}

func millis(value int, defaultValue time.Duration) time.Duration {
	if value == 0 {
		return defaultValue
	}
	return time.Duration(value) * time.Millisecond
}

func (s Settings) claimLease() time.Duration {
	return millis(s.Timing.ClaimLeaseMillis, defaultClaimLease)
}

func (s Settings) takeover() time.Duration {
	return millis(s.Timing.TakeoverMillis, defaultTakeover)
}

func (s Settings) drain() time.Duration { return millis(s.Timing.DrainMillis, defaultDrain) }

// claimTiming returns the timing of claims, or an error of kind Invalid unless
// heartbeat, lease and takeover time increase in this order.
func (s Settings) claimTiming() (claimer.Timing, error) {
	heartbeat := millis(s.Timing.ClaimHeartbeatMillis, defaultClaimHeartbeat)
	return claimer.NewTiming(heartbeat, s.claimLease(), s.takeover(), steadyPeriodTakeovers*s.takeover())
}

func (s Settings) outageAllowance() time.Duration {
	if s.Timing.OutageAllowanceMillis == nil {
		return scheduler.DefaultConfig().OutageAllowance
	}
	return time.Duration(*s.Timing.OutageAllowanceMillis) * time.Millisecond
}

// schedulerConfig returns the configuration of the partitions' schedulers.
func (s Settings) schedulerConfig() scheduler.Config {
	config := scheduler.DefaultConfig()
	config.Lease = millis(s.Timing.LeaseMillis, config.Lease)
	config.Margin = millis(s.Timing.MarginMillis, config.Margin)
	config.OutageAllowance = s.outageAllowance()
	return config
}

// security returns how peers authenticate each other.
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
