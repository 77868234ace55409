package btsettings

// Metrics says where metrics, health and readiness are served.
type Metrics struct {
	Listen string // host:port, empty for none
	Ready  string `json:",omitempty"` // second host:port for the same pages, for whoever asks only for readiness; empty for none
}

// Check reports the first field that breaks a rule.
func (m *Metrics) Check() error {
	if err := checkOptionalAddress("Listen", m.Listen); err != nil {
		return err
	}
	return checkOptionalAddress("Ready", m.Ready)
}
