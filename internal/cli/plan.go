// The plan and confirm commands: changes that an operator reviews before they are applied.

package cli

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// maxPlanArgumentBytes is the largest size of a plan that the plan command prints as an argument for
// the confirm command.
const maxPlanArgumentBytes = 4096

// planCommand shows what an operation would change. It changes nothing; the confirm command applies
// the plan.
type planCommand struct {
	operatorFlags
	Force bool `help:"Allow the plan even if no worker remains for a kind or for the whole fleet."`

	Drain     drainCommands         `cmd:"" help:"Stop sending new tasks to a worker or a rack."`
	Undrain   undrainCommands       `cmd:"" help:"Resume sending tasks to a drained worker or rack."`
	Retire    retireDomainIntent    `cmd:"" help:"Stop sending new tasks to a failure domain."`
	Reinstate reinstateDomainIntent `cmd:"" help:"Put a retired failure domain back into use."`
	Hold      holdKindIntent        `cmd:"" help:"Refuse new jobs of a kind."`
	Resume    resumeKindIntent      `cmd:"" help:"Accept new jobs of a held kind again."`
	Limits    setLimitsIntent       `cmd:"" help:"Change the limits that apply to every request."`
	Kind      kindCommands          `cmd:"" help:"Change or remove a kind."`
	Team      teamCommands          `cmd:"" help:"Change or remove a team."`
	Init      initIntent            `cmd:"" help:"Write the first configuration document from a file."`
	Restore   restoreIntent         `cmd:"" help:"Write the configuration in force back to a platform whose copy is older."`
}

// drainCommands are the commands that drain workers.
type drainCommands struct {
	Worker drainWorkerIntent `cmd:"" help:"Stop sending new tasks to one worker."`
	Rack   drainRackIntent   `cmd:"" help:"Stop sending new tasks to all workers of a rack."`
}

// undrainCommands are the commands that undo a drain.
type undrainCommands struct {
	Worker undrainWorkerIntent `cmd:"" help:"Resume sending tasks to one worker."`
	Rack   undrainRackIntent   `cmd:"" help:"Resume sending tasks to a rack."`
}

// kindCommands are the commands that change kinds.
type kindCommands struct {
	Set    setKindIntent    `cmd:"" help:"Create a kind or change its rules."`
	Remove removeKindIntent `cmd:"" help:"Remove a kind."`
}

// teamCommands are the commands that change teams.
type teamCommands struct {
	Set    setTeamIntent    `cmd:"" help:"Create a team or change its quota, weight or token."`
	Remove removeTeamIntent `cmd:"" help:"Remove a team."`
}

// workerArg is the argument of the intents for one worker.
type workerArg struct {
	Address string `arg:"" help:"The worker's address (IP:port) as in the VM list."`
}

// rackArg is the argument of the intents for one rack.
type rackArg struct {
	Rack string `arg:"" help:"The rack, as domain/rack."`
}

// domainArg is the argument of the intents for a failure domain.
type domainArg struct {
	Domain string `arg:"" help:"The failure domain."`
}

// nameArg is the name of a kind or a team.
type nameArg struct {
	Name string `arg:"" help:"The name."`
}

// settingsArg are the fields to change.
type settingsArg struct {
	Settings []string `arg:"" help:"Fields to set, as field=value. The error for an unknown field lists the fields."`
}

// The intents, each with its arguments.
type (
	drainWorkerIntent     struct{ workerArg }
	undrainWorkerIntent   struct{ workerArg }
	drainRackIntent       struct{ rackArg }
	undrainRackIntent     struct{ rackArg }
	retireDomainIntent    struct{ domainArg }
	reinstateDomainIntent struct{ domainArg }
	setLimitsIntent       struct{ settingsArg }
	setKindIntent         struct {
		nameArg
		settingsArg
	}
	removeKindIntent struct{ nameArg }
	holdKindIntent   struct{ nameArg }
	resumeKindIntent struct{ nameArg }
	setTeamIntent    struct {
		nameArg
		settingsArg
	}
	removeTeamIntent struct{ nameArg }
	restoreIntent    struct{}
	initIntent       struct {
		File string `arg:"" type:"existingfile" help:"File with the document in JSON, as export prints it."`
	}
)

// Run plans to drain a worker.
func (i *drainWorkerIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.DrainWorker), Target: i.Address})
}

// Run plans to undrain a worker.
func (i *undrainWorkerIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.UndrainWorker), Target: i.Address})
}

// Run plans to drain a rack.
func (i *drainRackIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.DrainRack), Target: i.Rack})
}

// Run plans to undrain a rack.
func (i *undrainRackIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.UndrainRack), Target: i.Rack})
}

// Run plans to retire a failure domain.
func (i *retireDomainIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.RetireDomain), Target: i.Domain})
}

// Run plans to reinstate a failure domain.
func (i *reinstateDomainIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.ReinstateDomain), Target: i.Domain})
}

// Run plans to change limits.
func (i *setLimitsIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.SetLimits), Settings: i.Settings})
}

// Run plans to create or change a kind.
func (i *setKindIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.SetKind), Target: i.Name, Settings: i.Settings})
}

// Run plans to remove a kind.
func (i *removeKindIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.RemoveKind), Target: i.Name})
}

// Run plans to hold a kind.
func (i *holdKindIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.HoldKind), Target: i.Name})
}

// Run plans to resume a kind.
func (i *resumeKindIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.ResumeKind), Target: i.Name})
}

// Run plans to create or change a team.
func (i *setTeamIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.SetTeam), Target: i.Name, Settings: i.Settings})
}

// Run plans to remove a team.
func (i *removeTeamIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.RemoveTeam), Target: i.Name})
}

// Run plans to restore the configuration in force.
func (i *restoreIntent) Run(p *planCommand, s *streams) error {
	return p.requestPlan(s, schema.Intent{Action: string(config.Restore)})
}

// Run plans to write the first configuration document.
func (i *initIntent) Run(p *planCommand, s *streams) error {
	b, err := os.ReadFile(i.File)
	if err != nil {
		return err
	}
	return p.requestPlan(s, schema.Intent{Action: string(config.Init), Document: string(b)})
}

// requestPlan requests the plan for an intent from an entry and prints it. It returns an error if the
// entry would refuse to apply the plan.
func (p *planCommand) requestPlan(s *streams, i schema.Intent) error {
	i.Force = p.Force
	var plan schema.Plan
	if err := p.call(http.MethodPost, "/v1/plans", i, &plan); err != nil {
		return err
	}
	if p.JSON {
		return printJSON(s.out, plan)
	}
	if err := printPlan(s.out, plan); err != nil {
		return err
	}
	if plan.Refused != "" {
		return errors.Newf("confirming this plan would be refused: %s", plan.Refused)
	}
	return printConfirmCommand(s.out, plan)
}

// confirmCommand applies a plan.
type confirmCommand struct {
	operatorFlags
	File string `type:"existingfile" help:"File with the plan, as plan --json prints it; - for the standard input."`
	Plan string `arg:"" optional:"" help:"The plan, as the plan command prints it."`
}

// Validate checks that the plan is given exactly once, and checks the operator flags.
func (c *confirmCommand) Validate() error {
	if (c.File == "") == (c.Plan == "") {
		return errors.New("expected exactly one of a plan as argument and --file; got none or both")
	}
	return c.operatorFlags.Validate()
}

// Run confirms the plan and prints the outcome.
func (c *confirmCommand) Run(s *streams) error {
	plan, err := c.readConfirmation(s.in)
	if err != nil {
		return err
	}
	var out schema.Outcome
	if err := c.call(http.MethodPost, "/v1/confirmations", plan, &out); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, out)
	}
	_, err = io.WriteString(s.out, out.Message+"\n")
	return err
}

// readConfirmation reads the plan from the argument, the file or the standard input.
func (c *confirmCommand) readConfirmation(in io.Reader) (schema.Confirmation, error) {
	var plan schema.Plan
	if c.Plan != "" {
		return decodeConfirmation(c.Plan)
	}
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return schema.Confirmation{}, err
		}
		defer f.Close()
		in = f
	}
	if err := json.NewDecoder(in).Decode(&plan); err != nil {
		return schema.Confirmation{}, errors.Wrapf(err, "reading %s: expected a plan in JSON", c.File)
	}
	return confirmationOf(plan), nil
}

// confirmationOf returns the part of a plan that its confirmation sends.
func confirmationOf(p schema.Plan) schema.Confirmation {
	return schema.Confirmation{Id: p.Id, BaseRevision: p.BaseRevision, Nonce: p.Nonce, Intent: p.Intent}
}

// encodeConfirmation encodes the confirmation of a plan as one command-line argument.
func encodeConfirmation(p schema.Plan) (string, error) {
	b, err := json.Marshal(confirmationOf(p))
	return base64.RawURLEncoding.EncodeToString(b), err
}

// decodeConfirmation decodes an argument that encodeConfirmation returned.
func decodeConfirmation(arg string) (schema.Confirmation, error) {
	var c schema.Confirmation
	b, err := base64.RawURLEncoding.DecodeString(arg)
	if err == nil {
		err = json.Unmarshal(b, &c)
	}
	return c, errors.Wrap(err, "the argument is not a complete plan; copy all of it")
}
