// Package config holds the rules of the configuration document: which documents are valid, how requests
// look up values in it, and how operators change it.
//
// An operator changes the document by an Intent. NewUpdate computes the new document from the one in force,
// ComputeEffects describes the consequences, and PlanID computes the identifier of the plan. Entries store
// no plans: a confirmation contains the intent again. The confirming entry computes the update again, and
// refuses it if the document's revision has changed. The new document contains a record of the plan, by
// which an entry recognises a repeated confirmation whose first reply was lost.
//
// The package does no I/O. The embedder reads the document and writes it by compare-and-swap.
package config
