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
	// tagIPPort is the validate tag of an ip:port with a port other than 0.
	tagIPPort = "ipport"
	// hiddenValue replaces the values of token keys in problems.
	hiddenValue = "(hidden)"
)

// checkLimits validates each value by the validate tag of its field.
func checkLimits(s any) Problems {
	v := validator.New()
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(iniTag) })
	if err := v.RegisterValidation(tagIPPort, isIPPort); err != nil {
		return Problems{{Allowed: err.Error()}}
	}
	err := v.Struct(s)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return nil
	}
	problems := make(Problems, len(violations))
	for i, violation := range violations {
		problems[i] = newProblem(violation)
	}
	return problems
}

func isIPPort(field validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(field.Field().String())
	return err == nil && address.Port() != 0
}

func newProblem(violation validator.FieldError) Problem {
	_, key, _ := strings.Cut(violation.Namespace(), ".")
	value := fmt.Sprint(violation.Value())
	if strings.Contains(key, "token") {
		value = hiddenValue
	}
	return Problem{Key: key, Value: value, Allowed: allowedText(violation)}
}

// allowedText describes the values that a validate tag accepts.
func allowedText(violation validator.FieldError) string {
	other := keyOf(violation.Param())
	switch violation.Tag() {
	case "required":
		return "a value is required"
	case tagIPPort:
		return "an IP address and port, such as 10.1.0.5:8080"
	case "max":
		return "up to " + violation.Param() + " characters"
	case "len", "hexadecimal":
		return "the SHA-256 of a token, 64 hexadecimal digits"
	case "oneof":
		return "one of " + strings.Join(strings.Fields(violation.Param()), ", ")
	case "gt":
		return "more than " + violation.Param()
	case "lte":
		return "at most " + violation.Param()
	case "gtfield":
		return "more than " + other
	case "gtefield":
		return "at least " + other
	case "ltfield":
		return "less than " + other
	case "nefield":
		return "another address than " + other
	default:
		return violation.Tag() + " " + violation.Param()
	}
}

// keyOf returns the key of the struct field that a validate tag compares with, or the
// parameter itself if it names no field.
func keyOf(field string) string {
	for _, t := range []reflect.Type{reflect.TypeFor[Timing](), reflect.TypeFor[Host](), reflect.TypeFor[RowsHost](), reflect.TypeFor[RowsTiming]()} {
		if f, ok := t.FieldByName(field); ok {
			return f.Tag.Get(iniTag)
		}
	}
	return field
}
