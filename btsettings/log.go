package btsettings

import (
	"github.com/rs/zerolog"

	"github.com/baobabtide/baobabtide"
)

// Log holds the settings of the log output.
type Log struct {
	Level string // lowest level that is written: debug, info, warn or error
}

// Check returns a FieldError for the first field that is invalid, nil if none
// is.
func (l *Log) Check() error {
	if _, err := zerolog.ParseLevel(l.Level); err != nil || l.Level == "" {
		return baobabtide.Fieldf("Level", "%q is none of debug, info, warn, error", l.Level)
	}
	return nil
}
