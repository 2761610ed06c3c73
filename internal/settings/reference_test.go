package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

const referencePage = "../../docs/operations/configuration.md"

// The operators' page must have one row for each key, with its default.
func TestOperatorsPageListsEachKey(t *testing.T) {
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	keys := 0
	settings := reflect.ValueOf(*Default())
	for i := range settings.NumField() {
		section := settings.Type().Field(i).Tag.Get(iniTag)
		for j := range settings.Field(i).NumField() {
			field := settings.Field(i).Type().Field(j)
			wantRow := fmt.Sprintf("| `%s.%s` | %s |", section, field.Tag.Get(iniTag), formatDefault(field, settings.Field(i).Field(j)))
			if !strings.Contains(string(page), wantRow) {
				t.Errorf("the page lacks the line that begins with\n%s", wantRow)
			}
			keys++
		}
	}
	_, rest, _ := strings.Cut(string(page), "## The settings")
	if got := strings.Count(rest, "\n| `"); got != keys {
		t.Errorf("the page has %d keys, the settings have %d", got, keys)
	}
}

func formatDefault(field reflect.StructField, value reflect.Value) string {
	if strings.Contains(field.Tag.Get("validate"), "required") {
		return "required"
	}
	if value.IsZero() {
		return "empty"
	}
	if d, ok := value.Interface().(time.Duration); ok {
		return strings.NewReplacer("h0m0s", "h", "m0s", "m").Replace(d.String())
	}
	return fmt.Sprint(value.Interface())
}
