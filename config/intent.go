// Actions of operators, and how each of them changes the document.

package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

// Action is the kind of change that an intent requests.
type Action string

// Actions of intents.
const (
	// Init writes the first document.
	Init Action = "init"
	// Restore writes the document in force back to a platform that was restored from an older copy.
	Restore Action = "restore"
	// DrainWorker and UndrainWorker stop and resume new work on one worker.
	DrainWorker   Action = "drain-worker"
	UndrainWorker Action = "undrain-worker"
	// DrainRack and UndrainRack do the same for all workers of a rack.
	DrainRack   Action = "drain-rack"
	UndrainRack Action = "undrain-rack"
	// RetireDomain stops new work on the workers of a failure domain and at its entries. ReinstateDomain
	// reverses it.
	RetireDomain    Action = "retire-domain"
	ReinstateDomain Action = "reinstate-domain"
	// SetLimits changes the limits that apply to every request.
	SetLimits Action = "set-limits"
	// SetKind creates or changes a kind, RemoveKind removes it.
	SetKind    Action = "set-kind"
	RemoveKind Action = "remove-kind"
	// HoldKind refuses new jobs of a kind, ResumeKind accepts them again.
	HoldKind   Action = "hold-kind"
	ResumeKind Action = "resume-kind"
	// SetTeam creates or changes a team, RemoveTeam removes it.
	SetTeam    Action = "set-team"
	RemoveTeam Action = "remove-team"
)

// maxDescriptionBytes is the maximum length of an intent's description in the document's history.
const maxDescriptionBytes = 200

// Describe returns a description of an intent in one line, for the history. It omits token hashes.
func Describe(i schema.Intent) string {
	words := []string{i.Action}
	if i.Target != "" {
		words = append(words, i.Target)
	}
	for _, s := range i.Settings {
		if strings.HasPrefix(s, "token_sha256=") {
			s = "token_sha256=..."
		}
		words = append(words, s)
	}
	if i.Force {
		words = append(words, "(forced)")
	}
	line := strings.Join(words, " ")
	if len(line) > maxDescriptionBytes {
		line = line[:maxDescriptionBytes] + "..."
	}
	return strings.ToValidUTF8(line, "?")
}

// Apply returns the document that results from an intent, without a new revision and without a record of
// the plan. It does not change base.
func Apply(base *schema.Config, i schema.Intent) (*schema.Config, error) {
	doc := proto.CloneOf(base)
	if doc.Limits == nil {
		doc.Limits = &schema.Limits{}
	}
	if err := apply(doc, i); err != nil {
		return nil, err
	}
	return doc, nil
}

// apply changes doc as the intent requests.
func apply(doc *schema.Config, i schema.Intent) error {
	switch Action(i.Action) {
	case Init:
		return initialize(doc, i.Document)
	case Restore:
		return nil
	case DrainWorker:
		return addTarget(&doc.DrainedWorkers, "worker", i.Target)
	case UndrainWorker:
		return removeTarget(&doc.DrainedWorkers, "drained worker", i.Target)
	case DrainRack:
		if !strings.Contains(i.Target, "/") {
			return errors.Newf("rack %q is not of the form domain/rack", i.Target)
		}
		return addTarget(&doc.DrainedRacks, "rack", i.Target)
	case UndrainRack:
		return removeTarget(&doc.DrainedRacks, "drained rack", i.Target)
	case RetireDomain:
		return addTarget(&doc.RetiredDomains, "failure domain", i.Target)
	case ReinstateDomain:
		return removeTarget(&doc.RetiredDomains, "retired failure domain", i.Target)
	case SetLimits:
		return setFields(doc.Limits, i.Settings)
	case SetKind:
		return setNamed(&doc.Kinds, i.Target, &schema.Kind{}, i.Settings)
	case RemoveKind:
		return removeNamed(doc.Kinds, "kind", i.Target)
	case HoldKind:
		return addTarget(&doc.HeldKinds, "kind", i.Target)
	case ResumeKind:
		return removeTarget(&doc.HeldKinds, "held kind", i.Target)
	case SetTeam:
		return setNamed(&doc.Teams, i.Target, &schema.Team{}, i.Settings)
	case RemoveTeam:
		return removeNamed(doc.Teams, "team", i.Target)
	}
	return errors.Newf("unknown action %q", i.Action)
}

// initialize replaces an empty document. It keeps the revision in the text, so that a document restored
// from an export gets a higher revision than any that entries may still have.
func initialize(doc *schema.Config, text string) error {
	if doc.GetRevision() > 0 {
		return errors.Newf("there is a document already, at revision %d; change it by other intents", doc.GetRevision())
	}
	var first schema.Config
	if err := protojson.Unmarshal([]byte(text), &first); err != nil {
		return errors.Wrap(err, "decoding the document")
	}
	first.RecentPlans = nil
	proto.Reset(doc)
	proto.Merge(doc, &first)
	return nil
}

// addTarget adds a name to a list of the document.
func addTarget(list *[]string, noun, target string) error {
	if target == "" {
		return errors.Newf("the name of the %s is empty", noun)
	}
	if slices.Contains(*list, target) {
		return errors.Newf("%s %q is in the requested state already", noun, target)
	}
	*list = append(*list, target)
	slices.Sort(*list)
	return nil
}

// removeTarget removes a name from a list of the document.
func removeTarget(list *[]string, noun, target string) error {
	i := slices.Index(*list, target)
	if i < 0 {
		return errors.Newf("there is no %s %q; existing: %s", noun, target, listOrNone(*list))
	}
	*list = slices.Delete(*list, i, i+1)
	return nil
}

func listOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// setNamed sets fields of the message with the given name, and adds the message if there is none.
func setNamed[M proto.Message](m *map[string]M, name string, empty M, settings []string) error {
	if name == "" {
		return errors.New("the name of the kind or team to set is empty")
	}
	if *m == nil {
		*m = make(map[string]M)
	}
	target, ok := (*m)[name]
	if !ok {
		target = empty
		(*m)[name] = target
	}
	return setFields(target, settings)
}

// removeNamed removes the message with the given name.
func removeNamed[M any](m map[string]M, noun, name string) error {
	if _, ok := m[name]; !ok {
		return fmt.Errorf("there is no %s %q", noun, name)
	}
	delete(m, name)
	return nil
}
