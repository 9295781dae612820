package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A request must be routed by its host, without the port, and by the longest matching prefix of its path.
func TestMatch(t *testing.T) {
	table := NewTable(3, 0, 0, []Route{
		{Name: "short", Host: "a.example", Prefix: "/q/"},
		{Name: "long", Host: "a.example", Prefix: "/q/deep/"},
		{Name: "other", Host: "b.example", Prefix: "/q/"},
	})
	for _, c := range []struct{ host, path, name, rest string }{
		{"a.example", "/q/1", "short", "1"},
		{"a.example:8080", "/q/deep/1", "long", "1"},
		{"b.example", "/q/deep/1", "other", "deep/1"},
		{"b.example", "/x/1", "", ""},
		{"c.example", "/q/1", "", ""},
	} {
		r, rest, ok := table.Match(c.host, c.path)
		assert.Equal(t, ok, c.name != "", "%s%s", c.host, c.path)
		if ok {
			assert.Equal(t, r.Name, c.name)
			assert.Equal(t, rest, c.rest)
		}
	}
}
