package cmds

import (
	"context"
	"flag"
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/internal/objapi"
)

// fakeStopTimeout bounds the graceful shutdown of the fake platform and upstream.
const fakeStopTimeout = 5 * time.Second

var platformCommand = command{
	Name:    "platform",
	Summary: "runs a fake of the platform's object API, in memory, for trials",
	Example: "platform --listen 127.0.0.1:8000",
	Prepare: func(flags *flag.FlagSet) runFunc {
		listen := addressFlag(flags, "listen", "`ADDRESS` to serve on", "127.0.0.1:8000")
		return func(ctx context.Context, c invocation) (err error) {
			if err = rejectArguments(c); err != nil {
				return err
			}
			server := &objapi.Server{}
			if err = server.Start(*listen); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.out, "fake platform listening on %s\n", server.Addr())
			<-ctx.Done()
			stopCtx, cancel := context.WithTimeout(context.Background(), fakeStopTimeout)
			defer cancel()
			return server.Stop(stopCtx)
		}
	},
}
