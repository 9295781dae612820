// Differences between two configuration documents, as a plan shows them.

package config

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/lavendercleat/lavendercleat/schema"
)

// shownHashDigits is the number of digits of a token's hash that a plan shows.
const shownHashDigits = 8

// Diff returns the fields that differ, sorted by name. It omits the revision and the history, because
// every plan changes them.
func Diff(before, after *schema.Config) []schema.Change {
	b, a := flatten(before), flatten(after)
	names := make(map[string]bool, len(a))
	for name := range b {
		names[name] = true
	}
	for name := range a {
		names[name] = true
	}
	var changes []schema.Change
	for name := range names {
		if b[name] != a[name] {
			changes = append(changes, schema.Change{Field: name, Before: b[name], After: a[name]})
		}
	}
	slices.SortFunc(changes, func(x, y schema.Change) int { return strings.Compare(x.Field, y.Field) })
	return changes
}

// flatten returns the values of the fields that are set in a document, by their paths.
func flatten(c *schema.Config) map[string]string {
	out := make(map[string]string)
	flattenMessage(out, "", c.ProtoReflect())
	delete(out, "revision")
	for name := range out {
		if strings.HasPrefix(name, "recent_plans") {
			delete(out, name)
		}
	}
	return out
}

func flattenMessage(out map[string]string, prefix string, m protoreflect.Message) {
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		name := prefix + string(f.Name())
		switch {
		case f.IsMap():
			v.Map().Range(func(k protoreflect.MapKey, e protoreflect.Value) bool {
				entry := name + "." + k.String()
				out[entry] = "present"
				flattenMessage(out, entry+".", e.Message())
				return true
			})
		case f.IsList():
			out[name] = listText(f, v.List())
		case f.Message() != nil:
			flattenMessage(out, name+".", v.Message())
		default:
			out[name] = valueText(f, v)
		}
		return true
	})
}

func listText(f protoreflect.FieldDescriptor, l protoreflect.List) string {
	parts := make([]string, l.Len())
	for i := range parts {
		parts[i] = valueText(f, l.Get(i))
	}
	return strings.Join(parts, ", ")
}

func valueText(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if f.Enum() != nil {
		if named := f.Enum().Values().ByNumber(v.Enum()); named != nil {
			return shortEnumName(f.Enum(), named)
		}
	}
	text := fmt.Sprint(v.Interface())
	if f.Name() == "token_sha256" && len(text) > shownHashDigits {
		return text[:shownHashDigits] + "..."
	}
	return text
}
