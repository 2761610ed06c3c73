package engineapi

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

// Extra holds the JSON fields of a chat request that ChatRequest does not
// define, such as sampling parameters. They are forwarded to the engine
// unchanged.
type Extra map[string]json.RawMessage

// chatRequestFields has the fields of ChatRequest without its JSON methods, which would recurse.
type chatRequestFields ChatRequest

// MarshalJSON implements json.Marshaler.
func (r ChatRequest) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(chatRequestFields(r))
	if err != nil || len(r.Extra) == 0 {
		return known, err
	}
	extra, err := json.Marshal(r.Extra)
	if err != nil {
		return nil, err
	}
	var joined bytes.Buffer
	joined.Write(known[:len(known)-1])
	joined.WriteByte(',')
	joined.Write(extra[1:])
	return joined.Bytes(), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *ChatRequest) UnmarshalJSON(data []byte) error {
	var decoded chatRequestFields
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	var extra Extra
	if err := json.Unmarshal(data, &extra); err != nil {
		return err
	}
	for name := range extra {
		if isDefinedField(name) {
			delete(extra, name)
		}
	}
	if len(extra) > 0 {
		decoded.Extra = extra
	}
	*r = ChatRequest(decoded)
	return nil
}

// isDefinedField reports whether ChatRequest defines a JSON field. The comparison
// ignores case, as JSON decoders do: otherwise a caller could set a defined
// field, such as the priority, through a differently spelled extra field.
func isDefinedField(name string) bool {
	fields := reflect.TypeFor[ChatRequest]()
	for i := range fields.NumField() {
		tag, _, _ := strings.Cut(fields.Field(i).Tag.Get("json"), ",")
		if strings.EqualFold(tag, name) {
			return true
		}
	}
	return false
}
