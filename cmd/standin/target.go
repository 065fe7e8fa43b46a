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

// targetCommand runs a target.
type targetCommand struct {
	address   string
	advertise string
	journal   string
	agent     string
	leave     time.Duration
	config    responder.Config
	announce  messenger.TargetAnnounce
}

// Name returns the name of the command.
func (*targetCommand) Name() string { return "target" }

// Synopsis returns what the command does.
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
	flags.DurationVar(&c.leave, "leave", 5*time.Second, "how long to announce the leave before the shutdown")
	flags.StringVar(&c.config.Host, "host", "", "name of the host")
	flags.StringVar(&c.config.DataCentre, "data-centre", "", "data centre of the host")
	flags.StringVar(&c.config.Service, "service", "", "name of the service")
	flags.StringVar(&c.announce.Team, "team", "", "team that owns the service")
	flags.IntVar(&c.config.Slots, "slots", 8, "requests that the target runs at once")
	flags.IntVar(&c.announce.Connections, "connections", 64, "connections that the target accepts")
	flags.DurationVar(&c.config.Latency, "latency", 20*time.Millisecond, "how long a request runs")
	flags.IntVar(&c.config.PaddingBytes, "padding-bytes", 0, "length added to each answer")
	flags.IntVar(&c.announce.Reserved.ProcessorMillis, "processor-millis", apricotwinch.MillisPerProcessor, "processors that the target holds, in thousandths")
	flags.IntVar(&c.announce.Reserved.MemoryBytes, "memory-bytes", 1<<30, "memory that the target holds, in bytes")
}

// Execute runs the target until ctx ends; it then announces that it leaves,
// waits and finishes what runs.
func (c *targetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	journal, closeJournal, err := openJournal(c.journal)
	if err != nil {
		return finish(err)
	}
	defer closeJournal()
	listener, err := listen(ctx, c.address)
	if err != nil {
		return finish(err)
	}
	clock := clockwork.NewRealClock()
	target := responder.New(c.config, clock, journal)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	announcer := c.announcer(listener, clock)
	if c.agent != "" {
		go announcer.Run(serving)
	}
	context.AfterFunc(ctx, func() {
		target.Leave()
		announcer.Leave()
		if c.agent != "" {
			_ = announcer.Announce(serving)
			clock.Sleep(c.leave)
		}
		target.Wait()
		stop()
	})
	return finish(serve(serving, responder.Limit(listener, c.announce.Connections), target))
}

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
