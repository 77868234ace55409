package baobabtide

import (
	"errors"
	"fmt"
)

// FieldError names a field that breaks a rule.
type FieldError struct {
	Path string // with dots and indexes, such as Services[0].Rollout.Watch
	Rule string // with the value, in the order "value, what is allowed"
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Rule
	}
	return e.Path + ": " + e.Rule
}

// Fieldf returns a FieldError whose rule is formatted.
func Fieldf(path, format string, args ...any) error {
	return &FieldError{Path: path, Rule: fmt.Sprintf(format, args...)}
}

// Within puts the path of an outer field before that of a FieldError.
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

// WithinIndex is Within for one element of a list.
func WithinIndex(path string, index int, err error) error {
	return Within(fmt.Sprintf("%s[%d]", path, index), err)
}
