// Package btflag declares the flags of a command from the tags of a struct:
//
//	flag:"name" short:"n" default:"value" help:"text"
package btflag

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/spf13/pflag"
)

// Bind declares a flag for each tagged field of the struct that options points to.
// The field holds the flag's default, and the flag's value once the flags are parsed.
// The default of a []string field is ignored. Bind panics if the type of a tagged field
// is not supported or its default does not parse, which is a programming error.
func Bind(flags *pflag.FlagSet, options any) {
	v := reflect.ValueOf(options).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, ok := field.Tag.Lookup("flag")
		if !ok {
			continue
		}
		if err := bind(flags, v.Field(i).Addr().Interface(), name, field.Tag); err != nil {
			panic(fmt.Sprintf("flag %q: %v", name, err))
		}
	}
}

// bind declares one flag that is stored in field, a pointer to the struct field.
func bind(flags *pflag.FlagSet, field any, name string, tag reflect.StructTag) error {
	short, initial, help := tag.Get("short"), tag.Get("default"), tag.Get("help")
	switch p := field.(type) {
	case *string:
		flags.StringVarP(p, name, short, initial, help)
	case *[]string:
		flags.StringSliceVarP(p, name, short, nil, help)
	case *bool:
		value, err := parse(initial, strconv.ParseBool)
		flags.BoolVarP(p, name, short, value, help)
		return err
	case *int:
		value, err := parse(initial, strconv.Atoi)
		flags.IntVarP(p, name, short, value, help)
		return err
	case *uint64:
		value, err := parse(initial, func(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) })
		flags.Uint64VarP(p, name, short, value, help)
		return err
	case *time.Duration:
		value, err := parse(initial, time.ParseDuration)
		flags.DurationVarP(p, name, short, value, help)
		return err
	default:
		return fmt.Errorf("type %T is not supported", field)
	}
	return nil
}

// parse converts the default of a tag. It returns the zero value for an empty one.
func parse[T any](text string, convert func(string) (T, error)) (T, error) {
	if text == "" {
		var zero T
		return zero, nil
	}
	return convert(text)
}
