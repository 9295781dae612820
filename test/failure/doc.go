// Package failure contains the integration tests for the answers that callers receive when backend
// servers, connections or owners of submissions fail.
package failure
