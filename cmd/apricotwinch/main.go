// Command apricotwinch runs the scheduler's daemons and is their command-line client.
package main

import (
	"os"

	"apricotwinch/commander"
)

func main() { os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
