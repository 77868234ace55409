package btsettings

import "github.com/baobabtide/baobabtide"

// TLS says how nodes and operators prove who they are. Certificates are read
// again when their files change.
type TLS struct {
	Plaintext bool   // no TLS at all, must be asked for
	CertFile  string `json:",omitempty"` // PEM chain of the node
	KeyFile   string `json:",omitempty"` // PEM key of the node
	CAFile    string `json:",omitempty"` // PEM certificates that sign nodes and operators
	Callers   bool   `json:",omitempty"` // TLS towards callers, who need no certificate
}

// Check reports the first field that breaks a rule.
func (t *TLS) Check() error {
	if t.Plaintext {
		if t.CertFile != "" || t.KeyFile != "" || t.CAFile != "" || t.Callers {
			return baobabtide.Fieldf("Plaintext", "excludes CertFile, KeyFile, CAFile and Callers")
		}
		return nil
	}
	for _, file := range []struct{ name, path string }{
		{"CertFile", t.CertFile},
		{"KeyFile", t.KeyFile},
		{"CAFile", t.CAFile},
	} {
		if file.path == "" {
			return baobabtide.Fieldf(file.name, "empty, or set Plaintext")
		}
	}
	return nil
}
