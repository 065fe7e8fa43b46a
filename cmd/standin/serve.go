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
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for requests in flight after ctx has ended.
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

// serve serves handler on listener until ctx ends, then shuts the server down and waits
// for requests in flight.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	// ctx has ended, so the shutdown needs a context that is not canceled with it.
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

// openJournal returns a journal that appends to the file at path, and a function that
// closes the file. When path is empty, the journal discards its entries. The process
// exits when an entry can't be written.
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

// exitStatus prints err, if any, and returns the exit status.
func exitStatus(err error) subcommands.ExitStatus {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
