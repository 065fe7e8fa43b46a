// Package soaker contains the soak test with fault injection. Its tests run the real
// programs as separate processes against stand-ins of the platform and inject faults from
// outside, chosen by a seed. They check the scheduler's guarantees by what callers and
// executors observed.
//
// These environment variables configure the soak test:
//
//   - SOAK_SEEDS is the number of seeds, and SOAK_FIRST the first one.
//   - SOAK_SECONDS is how long faults are injected, in seconds.
//   - SOAK_ENTRIES and SOAK_HOSTS set the size of the deployment.
//   - SOAK_CUTS is the number of zones that TestZoneCuts cuts off.
//   - SOAK_REBIRTHS is the number of rounds of TestRebornExecutorsCutOff, in which executors restart
//     under their ids and are cut off.
//   - SOAK_REGRESSIONS, if set, adds the seeds that failed in the past.
//   - SOAK_LOGS is a directory for the logs of the seeds that fail.
package soaker
