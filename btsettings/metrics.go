package btsettings

// Metrics says where metrics, health and readiness are served.
type Metrics struct {
	Listen string // host:port, empty for none
}

// Check reports the first field that breaks a rule.
func (m *Metrics) Check() error { return checkOptionalAddress("Listen", m.Listen) }
