// Package failure holds the integration tests of what callers see when backend
// servers, connections and owners fail.
package failure
