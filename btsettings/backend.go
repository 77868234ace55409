package btsettings

// Backend says where the backend servers beside the node announce themselves.
type Backend struct {
	Listen string // host:port, best on the loopback interface
}

// Check reports the first field that breaks a rule.
func (b *Backend) Check() error { return checkAddress("Listen", b.Listen) }
