package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

const (
	tagIPPort   = "ipport"
	hiddenValue = "(hidden)"
)

// checkLimits checks each value against the validate tag of its field.
func checkLimits(s any) Problems {
	v := validator.New()
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(iniTag) })
	if err := v.RegisterValidation(tagIPPort, isIPPort); err != nil {
		return Problems{{Allowed: err.Error()}}
	}
	err := v.Struct(s)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return nil
	}
	problems := make(Problems, len(faults))
	for i, fault := range faults {
		problems[i] = problemOf(fault)
	}
	return problems
}

func isIPPort(field validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(field.Field().String())
	return err == nil && address.Port() != 0
}

func problemOf(fault validator.FieldError) Problem {
	_, key, _ := strings.Cut(fault.Namespace(), ".")
	value := fmt.Sprint(fault.Value())
	if strings.Contains(key, "token") {
		value = hiddenValue
	}
	return Problem{Key: key, Value: value, Allowed: allowed(fault)}
}

// allowed says in words what a validate tag requires.
func allowed(fault validator.FieldError) string {
	other := keyOf(fault.Param())
	switch fault.Tag() {
	case "required":
		return "a value is required"
	case tagIPPort:
		return "an IP address and port, such as 10.1.0.5:8080"
	case "max":
		return "up to " + fault.Param() + " characters"
	case "len", "hexadecimal":
		return "the SHA-256 of a token, 64 hexadecimal digits"
	case "oneof":
		return "one of " + strings.Join(strings.Fields(fault.Param()), ", ")
	case "gt":
		return "more than " + fault.Param()
	case "lte":
		return "at most " + fault.Param()
	case "gtfield":
		return "more than " + other
	case "gtefield":
		return "at least " + other
	case "ltfield":
		return "less than " + other
	case "nefield":
		return "another address than " + other
	default:
		return fault.Tag() + " " + fault.Param()
	}
}

// keyOf returns the key of a field of Timing or Host that a tag compares with.
func keyOf(field string) string {
	for _, t := range []reflect.Type{reflect.TypeFor[Timing](), reflect.TypeFor[Host](), reflect.TypeFor[RowsHost](), reflect.TypeFor[RowsTiming]()} {
		if f, ok := t.FieldByName(field); ok {
			return f.Tag.Get(iniTag)
		}
	}
	return field
}
