// Package verdict classifies failures by whether the request may have run.
//
// Each step that can fail returns a *Failure. Its verdict is NotRun only if the step can prove that no
// worker started the work. In all other cases it is MayHaveRun. Only a request with the verdict NotRun
// may be retried elsewhere, and only NotRun may be reported to a caller as "not run".
//
// To use the package, return New or Wrap from each step that can fail, retry a step only on NotRun, and
// convert errors of unknown origin with FromError, which assumes MayHaveRun.
package verdict
