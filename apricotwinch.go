// Package apricotwinch defines the types that all packages of the scheduler share: resources,
// urgency, identifiers, lease durations and error kinds.
//
// Packages that make decisions import only this package and each other; daemons import the
// packages that make decisions. This package performs no I/O.
package apricotwinch

// Version is the version of the product.
const Version = "0.1.0"
