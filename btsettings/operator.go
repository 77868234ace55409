package btsettings

// Operator holds the address of the operators' interface.
type Operator struct {
	Listen string // host:port
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (o *Operator) Check() error { return checkAddress("Listen", o.Listen) }
