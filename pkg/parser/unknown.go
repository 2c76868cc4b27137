package parser

import (
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// findUnknown returns the offset of the first object member that has no field in t, for which the error of encoding/json has no position.
func findUnknown(v *hujson.Value, t reflect.Type) (offset int, ok bool) {
	switch value := v.Value.(type) {
	case *hujson.Object:
		for i := range value.Members {
			m := &value.Members[i]
			member, known := memberType(m.Name.Value.(hujson.Literal).String(), t)
			if !known {
				return m.Name.StartOffset, true
			}
			if offset, ok := findUnknown(&m.Value, member); ok {
				return offset, true
			}
		}
	case *hujson.Array:
		if t == nil || t.Kind() != reflect.Slice {
			return 0, false
		}
		for i := range value.Elements {
			if offset, ok := findUnknown(&value.Elements[i], t.Elem()); ok {
				return offset, true
			}
		}
	}
	return 0, false
}

// memberType returns the type of the member of an object that is decoded to t, or nil if it can be anything. It reports false if there is none.
func memberType(name string, t reflect.Type) (member reflect.Type, known bool) {
	if t == nil {
		return nil, true
	}
	switch t.Kind() {
	case reflect.Map:
		return t.Elem(), true
	case reflect.Struct:
		for _, f := range reflect.VisibleFields(t) {
			if tag, _, _ := strings.Cut(f.Tag.Get("json"), ","); strings.EqualFold(tag, name) {
				return f.Type, true
			}
		}
		return nil, false
	}
	return nil, true
}
