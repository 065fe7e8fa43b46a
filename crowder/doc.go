// Package crowder contains the tests of processes that clients outside anyone's control connect to. The
// tests run the real programs as separate processes against a stand-in of the platform's store, let a
// crowd of connections misbehave in one way at a time, and check that the process lives, stays within
// the memory and the descriptors of its settings file, still answers an ordinary request, and is still
// the owner of the workloads.
package crowder
