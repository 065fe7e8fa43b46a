package soaker_test

import (
	"os"
	"testing"
)

// knownRed skips a test that KNOWN-RED.txt lists, unless KNOWN_RED=1 is set.
func knownRed(t *testing.T) {
	t.Helper()
	if os.Getenv("KNOWN_RED") != "1" {
		t.Skip("listed in KNOWN-RED.txt")
	}
}
