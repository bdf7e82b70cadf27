package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"arbutusstep.example/arbutusstep/internal/client"
	"arbutusstep.example/arbutusstep/internal/forms"
)

var statusCommand = command{
	Name:    "status",
	Summary: "prints the state of one node",
	Example: "status --node 127.0.0.1:8082",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newNodeFlags(flags)
		return func(ctx context.Context, c invocation) error {
			return showStatus(ctx, c, f, (*client.Client).Status)
		}
	},
}

var drainCommand = command{
	Name:    "drain",
	Summary: "drains a node: it accepts no new calls and finishes those in progress",
	Example: "drain --node 127.0.0.1:8082",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newNodeFlags(flags)
		return func(ctx context.Context, c invocation) error {
			return showStatus(ctx, c, f, (*client.Client).Drain)
		}
	},
}

// showStatus prints the status that read returns.
func showStatus(
	ctx context.Context, c invocation, f nodeFlags, read func(node *client.Client, ctx context.Context) (forms.Status, error),
) (err error) {
	if err = f.check(); err != nil {
		return err
	}
	if err = rejectArguments(c); err != nil {
		return err
	}
	body, err := read(f.client(), ctx)
	if err != nil {
		return describeError(err, nil)
	}
	return f.print(c, body, func() error { return writeStatus(c, body) })
}

func writeStatus(c invocation, body forms.Status) error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	rows := []struct{ name, value string }{
		{name: "host", value: string(body.Host)},
		{name: "zone", value: fmt.Sprintf("%s/%s", body.Region, body.Zone)},
		{name: "phase", value: body.Phase},
		{name: "version", value: fmt.Sprint(body.Version)},
		{name: "pending", value: pendingOf(body)},
		{name: "refused", value: refusedOf(body)},
		{name: "role", value: roleOf(body)},
		{name: "uplinks", value: fmt.Sprint(body.Uplinks)},
		{name: "upstream", value: upstreamOf(body)},
		{name: "calls", value: fmt.Sprintf("%d running, %d waiting, limit %d", body.Running, body.Waiting, body.Limit)},
		{name: "services", value: fmt.Sprint(body.Services)},
	}
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", r.name, r.value)
	}
	return table.Flush()
}

func pendingOf(body forms.Status) string {
	switch {
	case body.Pending == 0:
		return "none"
	case len(body.Missing) == 0:
		return fmt.Sprint(body.Pending)
	default:
		return fmt.Sprintf("%d, waits for %s", body.Pending, strings.Join(body.Missing, ", "))
	}
}

func refusedOf(body forms.Status) string {
	if body.Refused == 0 {
		return "none"
	}
	return fmt.Sprintf("%d: %s", body.Refused, body.Reason)
}

func roleOf(body forms.Status) string {
	switch {
	case body.Lead:
		return "lead relay"
	case body.Relay:
		return "relay"
	default:
		return "node"
	}
}

func upstreamOf(body forms.Status) string {
	if body.Upstream == "" {
		return "none"
	}
	return fmt.Sprintf("%s, %s, %d slots", body.Upstream, body.UpstreamState, body.Slots)
}

// problemOf returns the problem that the node reported, nil if there is none.
func problemOf(err error) *forms.Problem {
	var problem *client.ProblemError
	if errors.As(err, &problem) {
		return &problem.Problem
	}
	return nil
}
