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

// Bounds of what a document may ask for.
const (
	MaxTasks      = 160
	MaxBodyBytes  = 16 << 20
	MaxDeadlineMS = 10 * 60 * 1000
	// MaxDocumentBytes is the largest document in bytes; the platform holds values up to
	// 1 MiB, and the rest is for the history.
	MaxDocumentBytes = 960 << 10
	// maxName is the longest name of a kind, team or drained VM in bytes.
	maxName = 200
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
	checkNames(c, fault)
	if n := proto.Size(c); n > MaxDocumentBytes {
		fault("the document has %d bytes, accepted are up to %d", n, MaxDocumentBytes)
	}
	if len(faults) == 0 {
		return nil
	}
	slices.Sort(faults)
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
	if _, known := schema.Urgency_name[int32(k.GetUrgency())]; !known {
		fault("kind %q: there is no urgency %d", name, k.GetUrgency())
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
		if !IsTokenHash(token) {
			fault("team %q: token_sha256 is not 64 hexadecimal digits in lower case", name)
		}
		if other, ok := holders[token]; ok {
			fault("teams %q and %q have the same token", name, other)
		}
		holders[token] = name
	}
}

// checkNames checks the names that operators choose.
func checkNames(c *schema.Config, fault faultFunc) {
	check := func(what, name string) {
		if len(name) > maxName || !utf8.ValidString(name) {
			fault("%s %.40q: names are UTF-8 of up to %d bytes", what, name, maxName)
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

// IsTokenHash tells whether s is the hash of a token as HashToken writes it.
func IsTokenHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && strings.ToLower(s) == s
}
