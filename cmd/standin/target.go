package main

import (
	"context"
	"flag"
	"net"
	"time"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/standin/responder"
)

// targetCommand runs a simulated target.
type targetCommand struct {
	address    string
	advertise  string
	journal    string
	agent      string
	leaveDelay time.Duration
	config     responder.Config
	announce   messenger.TargetAnnounce
}

// Name returns the name of the command.
func (*targetCommand) Name() string { return "target" }

// Synopsis returns a one-line description of the command.
func (*targetCommand) Synopsis() string { return "run a target of a service" }

// Usage returns the help text of the command.
func (*targetCommand) Usage() string {
	return "standin target -listen 127.0.0.1:0 -agent http://127.0.0.1:7002 -service quote-engine -team jua-paa [-latency 20ms]\n"
}

// SetFlags sets the flags of the command.
func (c *targetCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.address, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&c.advertise, "advertise", "", "base URL to announce, empty for the bound address")
	flags.StringVar(&c.journal, "journal", "", "file to append the journal to")
	flags.StringVar(&c.agent, "agent", "", "base URL of the agent, empty for none")
	flags.DurationVar(&c.leaveDelay, "leave", 5*time.Second, "time between announcing the shutdown and shutting down")
	flags.StringVar(&c.config.Host, "host", "", "name of the host")
	flags.StringVar(&c.config.DataCentre, "data-centre", "", "data centre of the host")
	flags.StringVar(&c.config.Service, "service", "", "name of the service")
	flags.StringVar(&c.announce.Team, "team", "", "team that owns the service")
	flags.IntVar(&c.config.Slots, "slots", 8, "maximum number of requests that run concurrently")
	flags.IntVar(&c.announce.Connections, "connections", 64, "maximum number of open connections")
	flags.DurationVar(&c.config.Latency, "latency", 20*time.Millisecond, "how long a request runs")
	flags.IntVar(&c.config.PaddingBytes, "padding-bytes", 0, "bytes of padding added to each answer")
	flags.IntVar(&c.announce.Reserved.ProcessorMillis, "processor-millis", apricotwinch.MillisPerProcessor, "processors reserved for the target, in thousandths")
	flags.IntVar(&c.announce.Reserved.MemoryBytes, "memory-bytes", 1<<30, "memory reserved for the target, in bytes")
}

// Execute runs the target until ctx ends. It then announces that the target is leaving,
// waits for the leave delay and for requests in flight, and shuts down.
func (c *targetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	journal, closeJournal, err := openJournal(c.journal)
	if err != nil {
		return exitStatus(err)
	}
	defer closeJournal()
	listener, err := listen(ctx, c.address)
	if err != nil {
		return exitStatus(err)
	}
	clock := clockwork.NewRealClock()
	target := responder.New(c.config, clock, journal)
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	announcer := c.announcer(listener, clock)
	if c.agent != "" {
		go announcer.Run(serveCtx)
	}
	context.AfterFunc(ctx, func() {
		target.Leave()
		announcer.Leave()
		if c.agent != "" {
			_ = announcer.Announce(serveCtx)
			clock.Sleep(c.leaveDelay)
		}
		target.Wait()
		stop()
	})
	return exitStatus(serve(serveCtx, responder.LimitConnections(listener, c.announce.Connections), target))
}

// announcer returns the announcer of the target. The announced address is that of
// listener unless a flag sets another.
func (c *targetCommand) announcer(listener net.Listener, clock clockwork.Clock) *responder.Announcer {
	announce := c.announce
	announce.Service = c.config.Service
	announce.Slots = c.config.Slots
	announce.Address = c.advertise
	if announce.Address == "" {
		announce.Address = "http://" + listener.Addr().String()
	}
	return responder.NewAnnouncer(c.agent, announce, clock)
}
