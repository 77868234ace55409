// Package btcodec encodes and decodes the project's JSON and CBOR formats.
// Decoding calls the Check method of a type that has one. JSON decoding rejects
// unknown fields.
package btcodec

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/baobabtide/baobabtide"
)

// Checker is implemented by types that validate their values. Decoding calls Check.
type Checker interface {
	// Check returns an error if the value is invalid.
	Check() error
}

// durationMarshaler writes a duration as a string such as "1.5s".
var durationMarshaler = json.MarshalToFunc(func(enc *jsontext.Encoder, d time.Duration) error {
	return enc.WriteToken(jsontext.String(d.String()))
})

// durationUnmarshaler reads a duration from a string such as "1.5s".
var durationUnmarshaler = json.UnmarshalFromFunc(func(dec *jsontext.Decoder, d *time.Duration) error {
	token, err := dec.ReadToken()
	if err != nil {
		return err
	}
	if token.Kind() != '"' {
		return errors.New(`a duration is a string such as "1.5s"`)
	}
	*d, err = time.ParseDuration(token.String())
	return err
})

var decodeOptions = json.JoinOptions(
	json.RejectUnknownMembers(true),
	json.WithUnmarshalers(durationUnmarshaler),
)

var encodeOptions = json.JoinOptions(
	json.Deterministic(true),
	json.WithMarshalers(durationMarshaler),
)

// DecodeJSON decodes one JSON text into a new T and calls Check if *T is a
// Checker. Invalid JSON, values of the wrong type, unknown and duplicate fields
// and trailing data are reported as *baobabtide.FieldError; an error of Check is
// returned as it is.
func DecodeJSON[T any](data []byte) (*T, error) {
	v := new(T)
	if err := DecodeJSONInto(data, v); err != nil {
		return nil, err
	}
	return v, nil
}

// DecodeJSONInto decodes one JSON text into v, a pointer, and fails as DecodeJSON does.
// Fields that are not in the text keep their values.
func DecodeJSONInto(data []byte, v any) error {
	if err := json.Unmarshal(data, v, decodeOptions); err != nil {
		return fieldError(err)
	}
	return check(v)
}

// check calls v.Check if v is a Checker.
func check(v any) error {
	if c, ok := v.(Checker); ok {
		return c.Check()
	}
	return nil
}

// EncodeJSON returns the compact, deterministic JSON encoding of v.
func EncodeJSON(v any) ([]byte, error) {
	return json.Marshal(v, encodeOptions)
}

// EncodeJSONIndent returns the indented, deterministic JSON encoding of v.
func EncodeJSONIndent(v any) ([]byte, error) {
	return json.Marshal(v, encodeOptions, jsontext.WithIndent("  "))
}

// fieldError converts a decoding error into a FieldError with the path of the
// field, if the error holds one.
func fieldError(err error) error {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return &baobabtide.FieldError{Path: fieldPath(semantic.JSONPointer), Rule: semanticRule(semantic)}
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) && !errors.Is(err, io.ErrUnexpectedEOF) {
		rule := fmt.Sprintf("%v at byte %d", syntactic.Err, syntactic.ByteOffset)
		return &baobabtide.FieldError{Path: fieldPath(syntactic.JSONPointer), Rule: rule}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return &baobabtide.FieldError{Rule: "the text ends too early"}
	}
	return &baobabtide.FieldError{Rule: err.Error()}
}

// semanticRule returns the rule of a FieldError for an unknown field or a value that
// does not fit its field.
func semanticRule(err *json.SemanticError) string {
	if errors.Is(err, json.ErrUnknownName) {
		return "unknown field"
	}
	if err.Err != nil {
		return err.Err.Error()
	}
	return fmt.Sprintf("a JSON %s does not fit %s", err.JSONKind, typeName(err.GoType))
}

// typeName returns the name of a Go type for an error message; t may be nil.
func typeName(t reflect.Type) string {
	if t == nil {
		return "the field"
	}
	return t.String()
}

// fieldPath converts a JSON pointer such as /Services/0/Name to Services[0].Name.
func fieldPath(p jsontext.Pointer) string {
	var b strings.Builder
	for token := range p.Tokens() {
		if token != "" && strings.Trim(token, "0123456789") == "" {
			fmt.Fprintf(&b, "[%s]", token)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(token)
	}
	return b.String()
}
