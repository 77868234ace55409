package btsettings

// Operator says where the operators' interface listens.
type Operator struct {
	Listen string // host:port
}

// Check reports the first field that breaks a rule.
func (o *Operator) Check() error { return checkAddress("Listen", o.Listen) }
