package baobabtide

import "fmt"

// enumText returns the name at the position value. It fails if there is none.
func enumText(names []string, value int) ([]byte, error) {
	if value < 0 || value >= len(names) {
		return nil, fmt.Errorf("value %d is out of range, %d values are defined", value, len(names))
	}
	return []byte(names[value]), nil
}

// enumValue returns the position of the name equal to text. It fails if there is
// none.
func enumValue(names []string, text []byte) (uint8, error) {
	for i, name := range names {
		if name == string(text) {
			return uint8(i), nil
		}
	}
	return 0, fmt.Errorf("%q is none of %q", text, names)
}

var (
	statusNames      = []string{"alive", "suspect", "failed", "left"}
	targetStateNames = []string{"starting", "ready", "draining"}
	verdictNames     = []string{"may-have-run", "not-run", "ran"}
)

// MarshalText implements encoding.TextMarshaler.
func (s Status) MarshalText() ([]byte, error) { return enumText(statusNames, int(s)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Status) UnmarshalText(text []byte) error {
	v, err := enumValue(statusNames, text)
	*s = Status(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (s TargetState) MarshalText() ([]byte, error) { return enumText(targetStateNames, int(s)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *TargetState) UnmarshalText(text []byte) error {
	v, err := enumValue(targetStateNames, text)
	*s = TargetState(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return enumText(verdictNames, int(v)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	n, err := enumValue(verdictNames, text)
	*v = Verdict(n)
	return err
}
