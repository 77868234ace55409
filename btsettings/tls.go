package btsettings

import "github.com/baobabtide/baobabtide"

// TLS holds the certificates with which nodes and operators authenticate each
// other. A node reloads them when their files change.
type TLS struct {
	Plaintext bool   // no TLS on any connection; must be set explicitly
	CertFile  string `json:",omitempty"` // PEM certificate chain of the node
	KeyFile   string `json:",omitempty"` // PEM private key of the node
	CAFile    string `json:",omitempty"` // PEM certificates of the authorities that sign the certificates of nodes and operators
	Callers   bool   `json:",omitempty"` // TLS for callers, which need no certificate
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (t *TLS) Check() error {
	if t.Plaintext {
		if t.CertFile != "" || t.KeyFile != "" || t.CAFile != "" || t.Callers {
			return baobabtide.Fieldf("Plaintext", "true, not allowed with CertFile, KeyFile, CAFile or Callers")
		}
		return nil
	}
	for _, file := range []struct{ name, path string }{
		{"CertFile", t.CertFile},
		{"KeyFile", t.KeyFile},
		{"CAFile", t.CAFile},
	} {
		if file.path == "" {
			return baobabtide.Fieldf(file.name, "empty, required unless Plaintext is set")
		}
	}
	return nil
}
