package appender

import "time"

// Limits of an appender.
const (
	// MaxRecordBytes is the maximum length of one encoded record, in bytes.
	MaxRecordBytes = 1 << 20

	maxBatchRecords = 1024
	maxBatchBytes   = 2 << 20
	maxQueueRecords = 16384
	maxQueueBytes   = 32 << 20
)

// Timeouts and delays of an appender and a follower.
const (
	timeoutMin    = 3 * time.Second
	timeoutMax    = 10 * time.Second
	pollWait      = time.Second
	failFastAfter = 2 * time.Second

	backOffInitial = 50 * time.Millisecond
	backOffMax     = 2 * time.Second
)
