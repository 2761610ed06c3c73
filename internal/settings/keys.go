package settings

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

const iniTag = "ini"

// checkKeys checks that the file has only known sections and keys, each once and of the right type.
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
			problems = append(problems, Problem{Key: name, Allowed: "no such section; allowed are " + namesOf(sections)})
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
			problems = append(problems, Problem{Key: name, Value: key.Value(), Allowed: "no such key; allowed are " + namesOf(fields)})
		case len(key.ValueWithShadows()) > 1:
			problems = append(problems, Problem{Key: name, Value: key.Value(), Allowed: "a key may be given once"})
		case !hasType(key.Value(), field.Type):
			problems = append(problems, Problem{Key: name, Value: key.Value(), Allowed: "a duration with unit, more than 0s, such as 500ms or 2s"})
		}
	}
	return problems
}

// hasType reports whether a value can be read as a field's type. All types but
// durations are texts. The INI library passes over durations that are not positive.
func hasType(value string, t reflect.Type) bool {
	if t != reflect.TypeFor[time.Duration]() {
		return true
	}
	d, err := time.ParseDuration(value)
	return err == nil && d > 0
}

// fieldsOf returns the fields of a struct by their names in the file.
func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get(iniTag)] = t.Field(i)
	}
	return fields
}

func namesOf(fields map[string]reflect.StructField) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
