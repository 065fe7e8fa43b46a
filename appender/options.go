package appender

import "time"

// Bounds of an appender and a follower.
const (
	// MaxRecordBytes is the greatest length of one record.
	MaxRecordBytes = 1 << 20

	maxBatchRecords = 1024
	maxBatchBytes   = 2 << 20
	maxQueueRecords = 16384
	maxQueueBytes   = 32 << 20
)

// Times of an appender and a follower.
const (
	timeoutMin    = 3 * time.Second
	timeoutMax    = 10 * time.Second
	pollWait      = time.Second
	failFastAfter = 2 * time.Second

	backOffInitial = 50 * time.Millisecond
	backOffMax     = 2 * time.Second
)
