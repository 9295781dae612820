// Package verdict classifies failures by whether the request may have run.
//
// Every step that can fail returns a *Failure. NotRun is a certainty: the step can
// prove that no worker started the work. Whatever can't be proved is MayHaveRun.
// Only a NotRun failure may be retried elsewhere, and only NotRun may be told to a
// caller as "not run".
//
// To embed it, return New or Wrap from each step that can fail, repeat a step only on
// NotRun, and pass errors of unknown origin through FromError, which assumes the worst.
package verdict
