package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"apricotwinch/standin/journaler"
)

const (
	headerTimeout   = 10 * time.Second
	shutdownTimeout = 30 * time.Second
)

// listen binds address and prints the bound address on standard output.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	fmt.Printf("listening %s\n", listener.Addr())
	return listener, nil
}

// serve serves handler on listener until ctx ends, then finishes what runs.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	// The context that ended can't bound the shutdown.
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(finish)
}

// openJournal returns a journal that appends to the file at path; without a
// path it drops the entries.
func openJournal(path string) (journaler.Journal, func(), error) {
	if path == "" {
		return journaler.Discard, func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	journal := journaler.New(file, func(err error) {
		fmt.Fprintln(os.Stderr, "journal:", err)
		os.Exit(int(subcommands.ExitFailure))
	})
	return journal, func() { _ = file.Close() }, nil
}

// finish prints err, if any, and returns the exit status.
func finish(err error) subcommands.ExitStatus {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
