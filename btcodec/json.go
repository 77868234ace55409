// Package btcodec decodes and encodes the project's JSON and CBOR formats.
// Decoding is strict and runs a type's own Check.
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

// Checker is a type that checks itself after it was decoded.
type Checker interface {
	Check() error
}

var durationMarshaler = json.MarshalToFunc(func(enc *jsontext.Encoder, d time.Duration) error {
	return enc.WriteToken(jsontext.String(d.String()))
})

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

// DecodeJSON decodes one JSON text. Unknown and duplicate fields, trailing data
// and values that fail the type's Check are errors of type *baobabtide.FieldError.
func DecodeJSON[T any](data []byte) (*T, error) {
	v := new(T)
	if err := DecodeJSONInto(data, v); err != nil {
		return nil, err
	}
	return v, nil
}

// DecodeJSONInto is DecodeJSON for a value that holds defaults.
func DecodeJSONInto(data []byte, v any) error {
	if err := json.Unmarshal(data, v, decodeOptions); err != nil {
		return fieldError(err)
	}
	return check(v)
}

func check(v any) error {
	if c, ok := v.(Checker); ok {
		return c.Check()
	}
	return nil
}

// EncodeJSON returns the compact, deterministic encoding of v.
func EncodeJSON(v any) ([]byte, error) {
	return json.Marshal(v, encodeOptions)
}

// EncodeJSONIndent returns the encoding of v for people.
func EncodeJSONIndent(v any) ([]byte, error) {
	return json.Marshal(v, encodeOptions, jsontext.WithIndent("  "))
}

// fieldError turns a decoding error into one that names the field.
func fieldError(err error) error {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return &baobabtide.FieldError{Path: dotted(semantic.JSONPointer), Rule: semanticRule(semantic)}
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) && !errors.Is(err, io.ErrUnexpectedEOF) {
		rule := fmt.Sprintf("%v at byte %d", syntactic.Err, syntactic.ByteOffset)
		return &baobabtide.FieldError{Path: dotted(syntactic.JSONPointer), Rule: rule}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return &baobabtide.FieldError{Rule: "the text ends too early"}
	}
	return &baobabtide.FieldError{Rule: err.Error()}
}

func semanticRule(err *json.SemanticError) string {
	if errors.Is(err, json.ErrUnknownName) {
		return "unknown field"
	}
	if err.Err != nil {
		return err.Err.Error()
	}
	return fmt.Sprintf("a JSON %s does not fit %s", err.JSONKind, typeName(err.GoType))
}

func typeName(t reflect.Type) string {
	if t == nil {
		return "the field"
	}
	return t.String()
}

// dotted turns a JSON pointer such as /Services/0/Name into Services[0].Name.
func dotted(p jsontext.Pointer) string {
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
