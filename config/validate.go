package config

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Bounds of what a document may ask for.
const (
	MaxTasks      = 160
	MaxBodyBytes  = 16 << 20
	MaxDeadlineMS = 10 * 60 * 1000
)

// Validate returns an error that names every fault of the document.
func Validate(c *schema.Config) error {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	checkLimits(c.GetLimits(), fault)
	for name, k := range c.GetKinds() {
		checkKind(name, k, c.GetLimits(), fault)
	}
	checkTeams(c.GetTeams(), fault)
	if len(faults) == 0 {
		return nil
	}
	return errors.Newf("invalid configuration: %s", strings.Join(faults, "; "))
}

type faultFunc func(format string, args ...any)

func checkLimits(l *schema.Limits, fault faultFunc) {
	if n := l.GetMaxTasks(); n < 1 || n > MaxTasks {
		fault("limits.max_tasks is %d, accepted are 1 to %d", n, MaxTasks)
	}
	if n := l.GetMaxBodyBytes(); n < 1 || n > MaxBodyBytes {
		fault("limits.max_body_bytes is %d, accepted are 1 to %d", n, MaxBodyBytes)
	}
	if n := l.GetMaxDeadlineMs(); n < 1 || n > MaxDeadlineMS {
		fault("limits.max_deadline_ms is %d, accepted are 1 to %d", n, MaxDeadlineMS)
	}
}

func checkKind(name string, k *schema.Kind, l *schema.Limits, fault faultFunc) {
	if name == "" {
		fault("a kind has no name")
	}
	if !strings.HasPrefix(k.GetPath(), "/") {
		fault("kind %q: path %q does not start with /", name, k.GetPath())
	}
	if n := k.GetDeadlineMs(); n < 1 || n > l.GetMaxDeadlineMs() {
		fault("kind %q: deadline_ms is %d, accepted are 1 to %d", name, n, l.GetMaxDeadlineMs())
	}
	if k.GetOneCall() && !k.GetIdempotent() {
		fault("kind %q: one_call needs idempotent, for a repeated call makes a second submission", name)
	}
}

func checkTeams(teams map[string]*schema.Team, fault faultFunc) {
	holders := make(map[string]string)
	for name, t := range teams {
		if name == "" {
			fault("a team has no name")
		}
		token := t.GetTokenSha256()
		if b, err := hex.DecodeString(token); err != nil || len(b) != 32 {
			fault("team %q: token_sha256 is not 64 hexadecimal digits", name)
		}
		if other, ok := holders[token]; ok {
			fault("teams %q and %q have the same token", name, other)
		}
		holders[token] = name
	}
}
