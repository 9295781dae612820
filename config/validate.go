// Validation of a configuration document.

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Bounds for the values in a document.
const (
	MaxTasks      = 160
	MaxBodyBytes  = 16 << 20
	MaxDeadlineMS = 10 * 60 * 1000
	// MaxDocumentBytes is the maximum size of a document. The platform stores values of up to 1 MiB, and
	// the rest is reserved for the history.
	MaxDocumentBytes = 960 << 10
	// maxNameBytes is the maximum length of the name of a kind, a team or a drained VM.
	maxNameBytes = 200
)

// Validate returns an error that names every problem of the document.
func Validate(c *schema.Config) error {
	var problems []string
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	checkLimits(c.GetLimits(), report)
	for name, k := range c.GetKinds() {
		checkKind(name, k, c.GetLimits(), report)
	}
	checkTeams(c.GetTeams(), report)
	checkNames(c, report)
	if n := proto.Size(c); n > MaxDocumentBytes {
		report("the document has %d bytes, accepted are up to %d", n, MaxDocumentBytes)
	}
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return errors.Newf("invalid configuration: %s", strings.Join(problems, "; "))
}

// reportFunc records a problem of the document.
type reportFunc func(format string, args ...any)

func checkLimits(l *schema.Limits, report reportFunc) {
	if n := l.GetMaxTasks(); n < 1 || n > MaxTasks {
		report("limits.max_tasks is %d, accepted are 1 to %d", n, MaxTasks)
	}
	if n := l.GetMaxBodyBytes(); n < 1 || n > MaxBodyBytes {
		report("limits.max_body_bytes is %d, accepted are 1 to %d", n, MaxBodyBytes)
	}
	if n := l.GetMaxDeadlineMs(); n < 1 || n > MaxDeadlineMS {
		report("limits.max_deadline_ms is %d, accepted are 1 to %d", n, MaxDeadlineMS)
	}
}

func checkKind(name string, k *schema.Kind, l *schema.Limits, report reportFunc) {
	if name == "" {
		report("a kind has no name")
	}
	if !strings.HasPrefix(k.GetPath(), "/") {
		report("kind %q: path %q does not start with /", name, k.GetPath())
	}
	if n := k.GetDeadlineMs(); n < 1 || n > l.GetMaxDeadlineMs() {
		report("kind %q: deadline_ms is %d, accepted are 1 to %d", name, n, l.GetMaxDeadlineMs())
	}
	if _, known := schema.Urgency_name[int32(k.GetUrgency())]; !known {
		report("kind %q: there is no urgency %d", name, k.GetUrgency())
	}
	if k.GetOneCall() && !k.GetIdempotent() {
		report("kind %q: one_call requires idempotent, because a repeated call makes a second submission", name)
	}
}

func checkTeams(teams map[string]*schema.Team, report reportFunc) {
	teamsByToken := make(map[string]string)
	for name, t := range teams {
		if name == "" {
			report("a team has no name")
		}
		token := t.GetTokenSha256()
		if !IsTokenHash(token) {
			report("team %q: token_sha256 is not 64 hexadecimal digits in lower case", name)
		}
		if other, ok := teamsByToken[token]; ok {
			report("teams %q and %q have the same token", name, other)
		}
		teamsByToken[token] = name
	}
}

// checkNames checks the names that operators have chosen.
func checkNames(c *schema.Config, report reportFunc) {
	check := func(noun, name string) {
		if len(name) > maxNameBytes || !utf8.ValidString(name) {
			report("%s %.40q: names are UTF-8 of up to %d bytes", noun, name, maxNameBytes)
		}
	}
	for name := range c.GetKinds() {
		check("kind", name)
	}
	for name := range c.GetTeams() {
		check("team", name)
	}
	for _, list := range [][]string{c.GetDrainedWorkers(), c.GetDrainedRacks(), c.GetRetiredDomains(), c.GetHeldKinds()} {
		for _, name := range list {
			check("target", name)
		}
	}
}

// IsTokenHash reports whether s is the hash of a token in the form that HashToken returns.
func IsTokenHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && strings.ToLower(s) == s
}
