package baobabtide

import (
	"errors"
	"fmt"
	"unicode/utf8"
)

// FieldError reports an invalid field.
type FieldError struct {
	Path string // such as Services[0].Rollout.Watch, empty for the whole value
	Rule string // invalid value and what is allowed, in this order
}

// Error returns the path and the rule.
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Rule
	}
	return e.Path + ": " + e.Rule
}

const maxRuleLength = 512 // bytes; an invalid value may be far longer

// Fieldf returns a FieldError with a formatted rule, of which it keeps the first 512 bytes.
func Fieldf(path, format string, args ...any) error {
	return &FieldError{Path: path, Rule: Truncate(fmt.Sprintf(format, args...), maxRuleLength)}
}

// Truncate returns the first bytes of a text, up to most, without a part of a character at
// the end.
func Truncate(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}

// Within prefixes the path of a FieldError with that of the enclosing field. It
// turns any other error into a FieldError with this path.
func Within(path string, err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return &FieldError{Path: path, Rule: err.Error()}
	}
	if field.Path == "" {
		return &FieldError{Path: path, Rule: field.Rule}
	}
	return &FieldError{Path: path + "." + field.Path, Rule: field.Rule}
}

// WithinIndex is Within for the element of a list at an index.
func WithinIndex(path string, index int, err error) error {
	return Within(fmt.Sprintf("%s[%d]", path, index), err)
}

// Checker is a pointer to a T that checks its fields.
type Checker[T any] interface {
	*T
	Check() error
}

// CheckEach returns an error if a field holds more than most items, or one for the first invalid
// item.
func CheckEach[T any, P Checker[T]](field string, items []T, most int) error {
	if len(items) > most {
		return Fieldf(field, "%d exceed %d", len(items), most)
	}
	for i := range items {
		if err := P(&items[i]).Check(); err != nil {
			return WithinIndex(field, i, err)
		}
	}
	return nil
}
