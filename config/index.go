// Lookups in one revision of the configuration document.

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Index looks up values in one revision of the document. It is immutable and therefore safe for
// concurrent use.
type Index struct {
	doc *schema.Config
	// teamsByHash maps the hashes of tokens to team names.
	teamsByHash map[string]string
}

// NewIndex returns the index of a document. The caller must not change the document afterwards.
func NewIndex(c *schema.Config) *Index {
	x := &Index{doc: c, teamsByHash: make(map[string]string, len(c.GetTeams()))}
	for name, t := range c.GetTeams() {
		x.teamsByHash[t.GetTokenSha256()] = name
	}
	return x
}

// Document returns the indexed document.
func (x *Index) Document() *schema.Config { return x.doc }

// Revision returns the document's revision, or 0 if there is no document yet.
func (x *Index) Revision() uint64 { return x.doc.GetRevision() }

// TeamOf returns the team of a token. It looks up the hash of the token, so the duration of the lookup
// reveals nothing about the tokens of other teams.
func (x *Index) TeamOf(token string) (team string, ok bool) {
	team, ok = x.teamsByHash[HashToken(token)]
	return team, ok
}

// HashToken returns the hash of a token in the form that the document contains.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Kind returns a kind by name, or nil if there is none.
func (x *Index) Kind(name string) *schema.Kind { return x.doc.GetKinds()[name] }

// Held reports whether new jobs of a kind are refused for now.
func (x *Index) Held(kind string) bool { return slices.Contains(x.doc.GetHeldKinds(), kind) }

// Drained reports whether a worker gets no new work, by itself, by its rack or by its failure domain.
func (x *Index) Drained(vm *schema.Vm) bool {
	return slices.Contains(x.doc.GetDrainedWorkers(), vm.GetAddress()) ||
		slices.Contains(x.doc.GetDrainedRacks(), RackName(vm)) ||
		x.Retired(vm.GetDomain())
}

// RackName returns the name of a VM's rack, which is unique across failure domains.
func RackName(vm *schema.Vm) string { return vm.GetDomain() + "/" + vm.GetRack() }

// Retired reports whether a failure domain is retired.
func (x *Index) Retired(domain string) bool {
	return slices.Contains(x.doc.GetRetiredDomains(), domain)
}
