// The sample configuration and the sample job of the dev command.

package cli

import (
	"encoding/json"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// sampleConfig returns the configuration of the dev command. It has two kinds: an idempotent quote,
// and a booking that must run at most once.
func sampleConfig() *schema.Config {
	return &schema.Config{
		Revision: 1,
		Kinds: map[string]*schema.Kind{
			"loft-quote": {
				Path: "/quote", Idempotent: true, OneCall: true,
				Urgency: schema.Urgency_URGENCY_NORMAL, RunTimeMs: 50, DeadlineMs: 10_000,
			},
			"crusher-booking": {
				Path: "/booking", Urgency: schema.Urgency_URGENCY_HIGH, RunTimeMs: 50, DeadlineMs: 10_000,
			},
		},
		Teams:  map[string]*schema.Team{devTeam: {TokenSha256: config.HashToken(devToken)}},
		Limits: &schema.Limits{MaxTasks: config.MaxTasks, MaxBodyBytes: 4 << 20, MaxDeadlineMs: 60_000},
	}
}

// sampleJob returns the job that dev --once submits: a loft quote with several tasks.
func sampleJob() schema.Job {
	return schema.Job{
		Kind: "loft-quote",
		Tasks: []schema.Task{
			{Payload: json.RawMessage(`{"step":"roof_pitch","ridge_cm":1120,"eaves_cm":640}`)},
			{Payload: json.RawMessage(`{"step":"dormer","side":"north","width_cm":180}`)},
			{Payload: json.RawMessage(`{"step":"dormer","side":"south","width_cm":240}`)},
			{Payload: json.RawMessage(`{"step":"render","format":"pdf"}`)},
		},
	}
}
