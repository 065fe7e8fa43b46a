// Package soaker holds the fault soak: its tests run the real programs as separate
// processes against stand-ins of the platform, inject faults from outside, chosen by a
// seed, and check the promises by what callers and executors saw.
//
// SOAK_SEEDS, SOAK_FIRST, SOAK_SECONDS, SOAK_ENTRIES and SOAK_HOSTS set the number of
// seeds, the first one, how long faults come, and the size of the deployment;
// SOAK_REGRESSIONS adds the seeds that ever failed, and SOAK_LOGS names a directory for
// the logs of those that fail.
package soaker
