package btsettings

import (
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
)

// Log says what is logged.
type Log struct {
	Level string // debug, info, warn or error
}

// Check reports the first field that breaks a rule.
func (l *Log) Check() error {
	if _, err := zerolog.ParseLevel(l.Level); err != nil || l.Level == "" {
		return baobabtide.Fieldf("Level", "%q is none of debug, info, warn, error", l.Level)
	}
	return nil
}
