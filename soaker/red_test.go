package soaker_test

import (
	"os"
	"testing"
)

// playsKnownRed reports whether the faults that KNOWN-RED.txt lists are played.
func playsKnownRed() bool { return os.Getenv("KNOWN_RED") == "1" }

// knownRed skips a test that KNOWN-RED.txt lists, unless KNOWN_RED=1 is set.
func knownRed(t *testing.T) {
	t.Helper()
	if !playsKnownRed() {
		t.Skip("listed in KNOWN-RED.txt")
	}
}
