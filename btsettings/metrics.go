package btsettings

// Metrics holds the addresses that serve metrics, health and readiness.
type Metrics struct {
	Listen string // host:port, empty for none

	// Ready is a second host:port that serves the same pages, for readiness checks that
	// expect an address of their own; empty for none.
	Ready string `json:",omitempty"`
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (m *Metrics) Check() error {
	if err := checkOptionalAddress("Listen", m.Listen); err != nil {
		return err
	}
	return checkOptionalAddress("Ready", m.Ready)
}
