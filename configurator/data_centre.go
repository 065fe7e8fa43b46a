package configurator

// DataCentre holds the settings of one data centre.
type DataCentre struct {
	name   string
	region string
	out    bool
}

type dataCentreJSON struct {
	Region string `json:"region"`
	Out    bool   `json:"out"`
}

func newDataCentre(p path, wire dataCentreJSON) DataCentre {
	return DataCentre{name: p.name(), region: wire.Region, out: wire.Out}
}

// Name returns the name of the data centre.
func (d DataCentre) Name() string { return d.name }

// Region returns the region of the data centre.
func (d DataCentre) Region() string { return d.region }

// Out reports whether the data centre is out of service.
func (d DataCentre) Out() bool { return d.out }
