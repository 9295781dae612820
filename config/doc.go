// Package config holds the rules of the configuration document: what a valid one is,
// how requests look things up in it, and how operators change it.
//
// A change is an Intent. NewUpdate makes the step from the document in force, ComputeEffects
// tells what follows, and PlanID names the plan. Nothing is kept between plan and
// confirmation: the confirmation brings the intent back, the step is computed again
// and refused if the document's revision moved. The new document carries the record
// of its plan, so that a confirmation whose reply was lost is recognised.
//
// The package does no I/O: reading and compare-and-swap are the embedder's.
package config
