package settings

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// iniTag is the struct tag with the name of a section or key in the file.
const iniTag = "ini"

// checkKeys checks that all sections and keys of the file are known, occur once and
// have a value of the right type.
func checkKeys(file *ini.File, settings reflect.Type) Problems {
	var problems Problems
	sections := fieldsOf(settings)
	seen := map[string]bool{}
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			for _, key := range section.KeyStrings() {
				problems = append(problems, Problem{Key: key, Allowed: "keys must stand in a section"})
			}
			continue
		}
		field, known := sections[name]
		switch {
		case !known:
			problems = append(problems, Problem{Key: name, Allowed: "no such section; allowed are " + joinNames(sections)})
		case seen[name]:
			problems = append(problems, Problem{Key: name, Allowed: "a section may be given once"})
		default:
			problems = append(problems, checkSection(section, fieldsOf(field.Type))...)
		}
		seen[name] = true
	}
	return problems
}

func checkSection(section *ini.Section, fields map[string]reflect.StructField) Problems {
	var problems Problems
	for _, key := range section.Keys() {
		name := section.Name() + "." + key.Name()
		field, known := fields[key.Name()]
		switch {
		case !known:
			problems = append(problems, Problem{Key: name, Value: key.Value(), Allowed: "no such key; allowed are " + joinNames(fields)})
		case len(key.ValueWithShadows()) > 1:
			problems = append(problems, Problem{Key: name, Value: key.Value(), Allowed: "a key may be given once"})
		case !hasValidType(key.Value(), field.Type):
			problems = append(problems, Problem{Key: name, Value: key.Value(), Allowed: "a duration with unit, more than 0s, such as 500ms or 2s"})
		}
	}
	return problems
}

// hasValidType reports whether a value can be parsed as a field's type. It checks
// durations only, because the INI library ignores durations that are not positive
// instead of reporting them. The library reports the errors of all other types.
func hasValidType(value string, t reflect.Type) bool {
	if t != reflect.TypeFor[time.Duration]() {
		return true
	}
	d, err := time.ParseDuration(value)
	return err == nil && d > 0
}

// fieldsOf returns the fields of a struct by their ini tags.
func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get(iniTag)] = t.Field(i)
	}
	return fields
}

// joinNames returns the names in alphabetical order, separated by commas.
func joinNames(fields map[string]reflect.StructField) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
