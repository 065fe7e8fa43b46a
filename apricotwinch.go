// Package apricotwinch holds the core vocabulary of the scheduler: resources,
// urgency, lease terms and the closed list of error kinds.
//
// Decision packages import only this package and their peers; daemons import
// the decision packages. Nothing here performs I/O.
package apricotwinch

// Version is the version of the product.
const Version = "0.1.0"
