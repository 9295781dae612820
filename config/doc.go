// Package config holds the rules of the configuration document: what a valid one is,
// and how requests look things up in it. It does no I/O.
package config
