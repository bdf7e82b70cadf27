package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// defaultFollowTimeout is the default time for which a rollout is followed.
	defaultFollowTimeout = time.Minute
	// followInterval is the interval at which the rollout is polled.
	followInterval = 500 * time.Millisecond
)

// States of a zone in the admin API.
const (
	stateInForce = "inForce"
	stateRefused = "refused"
)

var rolloutCommand = command{
	Name:      "rollout",
	Arguments: "VERSION",
	Summary:   "follows the rollout of a version until it is in force everywhere, and prints each change of a zone",
	Example:   "rollout 7 --timeout 30s",
	Prepare: func(flags *flag.FlagSet) runFunc {
		f := newNodeFlags(flags)
		timeout := flags.Duration("timeout", defaultFollowTimeout, "how long to follow")
		return func(ctx context.Context, c invocation) (err error) {
			if err = f.check(); err != nil {
				return err
			}
			if len(c.args) != 1 {
				return newInputError("want one VERSION")
			}
			version, err := parseVersion(c.args[0])
			if err != nil {
				return err
			}
			return followRollout(ctx, c, f, version, *timeout)
		}
	},
}

// followRollout prints the progress of a rollout until the version is in force
// everywhere, a node refuses it, or the timeout expires. It continues while the
// platform is unavailable.
func followRollout(ctx context.Context, c invocation, f nodeFlags, version mesh.Version, timeout time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	progress := &rolloutProgress{invocation: c, quiet: *f.output == outputJSON}
	for {
		body, errRead := f.client().Rollout(ctx, version)
		if errRead == nil {
			if err = progress.update(body); err != nil {
				return err
			}
			if body.InForce || progress.refusal() != "" {
				return progress.finish(f, version)
			}
		} else if !retryable(errRead) {
			return describeError(errRead, nil)
		}
		select {
		case <-ctx.Done():
			if !progress.received {
				return errors.Join(fmt.Errorf("version %d: the state of its rollout could not be read", version), describeError(errRead, nil))
			}
			return progress.finish(f, version)
		case <-ticker.C:
		}
	}
}

// retryable reports whether the rollout may be readable later.
func retryable(err error) bool {
	problem := problemOf(err)
	return problem == nil || problem.Code == forms.CodeUnavailable || problem.Code == forms.CodeUnknown
}

// rolloutProgress is the last known state of a rollout.
type rolloutProgress struct {
	invocation
	// quiet suppresses the lines.
	quiet bool
	// received is true once a response has arrived.
	received bool
	body     forms.Rollout
	// lines holds the last printed line of each zone.
	lines map[mesh.Zone]string
}

// update prints a line for each zone whose state has changed.
func (p *rolloutProgress) update(body forms.Rollout) (err error) {
	if p.lines == nil {
		p.lines = make(map[mesh.Zone]string)
	}
	p.received, p.body = true, body
	for _, z := range body.Zones {
		line := zoneLine(z)
		if p.quiet || p.lines[z.Zone] == line {
			continue
		}
		p.lines[z.Zone] = line
		if _, err = fmt.Fprintln(p.out, line); err != nil {
			return err
		}
	}
	return nil
}

func zoneLine(zone forms.ZoneProgress) string {
	return fmt.Sprintf("%s: %s, version %d at all of %d nodes, %d behind",
		zone.Zone, zone.State, zone.Version, zone.Nodes, zone.Behind)
}

// refusal describes the nodes that refuse the version; empty if none does.
func (p *rolloutProgress) refusal() string {
	var reasons []string
	for _, z := range p.body.Zones {
		for _, r := range z.Refusals {
			if r.Version == p.body.Version {
				reasons = append(reasons, fmt.Sprintf("%s in %s refuses version %d: %s", r.Host, z.Zone, r.Version, r.Reason))
			}
		}
	}
	return strings.Join(reasons, "\n  ")
}

// behind lists the zones in which the version is not in force.
func (p *rolloutProgress) behind() string {
	var zones []string
	for _, z := range p.body.Zones {
		if z.State != stateInForce {
			zones = append(zones, fmt.Sprintf("%s (%s)", z.Zone, z.State))
		}
	}
	return strings.Join(zones, ", ")
}

// finish prints the final state and returns an error unless the version is in
// force.
func (p *rolloutProgress) finish(f nodeFlags, version mesh.Version) (err error) {
	err = f.print(p.invocation, p.body, func() (err error) {
		if p.body.InForce {
			_, err = fmt.Fprintf(p.out, "version %d is in force everywhere\n", version)
		}
		return err
	})
	switch refusal := p.refusal(); {
	case err != nil || p.body.InForce:
		return err
	case refusal != "":
		return fmt.Errorf("version %d is refused\n  %s", version, refusal)
	case p.behind() == "":
		return fmt.Errorf("version %d: no availability zone reports", version)
	default:
		return fmt.Errorf("version %d is not in force in %s", version, p.behind())
	}
}
