package sizing

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// requestTimeout bounds one request to a node or to the platform.
const requestTimeout = 10 * time.Second

// api is a client of the HTTP APIs of nodes and of the stand-in for the platform.
type api struct {
	client http.Client
}

func newAPI() *api {
	return &api{client: http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

func (a *api) close() {
	a.client.CloseIdleConnections()
}

// do sends a request and returns the body of the response. A status other than 2xx
// is an error.
func (a *api) do(ctx context.Context, method string, to netip.AddrPort, path string, body []byte) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s%s: %w", method, to, path, err)
		}
	}()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := a.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if data, err = io.ReadAll(response.Body); err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("status %d: %.300s", response.StatusCode, data)
	}
	return data, nil
}

func (a *api) status(ctx context.Context, node netip.AddrPort) (status forms.Status, err error) {
	data, err := a.do(ctx, http.MethodGet, node, "/v1/status", nil)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(data, &status)
}

func (a *api) stats(ctx context.Context, platform netip.AddrPort) (stats objapi.Stats, err error) {
	data, err := a.do(ctx, http.MethodGet, platform, "/v1/stats", nil)
	if err != nil {
		return stats, err
	}
	return stats, json.Unmarshal(data, &stats)
}

func (a *api) submit(ctx context.Context, node netip.AddrPort, change forms.Change) (version mesh.Version, err error) {
	body, err := json.Marshal(change)
	if err != nil {
		return 0, err
	}
	data, err := a.do(ctx, http.MethodPost, node, "/v1/changes", body)
	if err != nil {
		return 0, err
	}
	var accepted forms.Accepted
	return accepted.Version, errors.Join(json.Unmarshal(data, &accepted))
}

// controlBytes returns how many control bytes a node has sent and received.
func (a *api) controlBytes(ctx context.Context, node netip.AddrPort) (sum float64, err error) {
	data, err := a.do(ctx, http.MethodGet, node, "/metrics", nil)
	if err != nil {
		return 0, err
	}
	return sumMetrics(data, "arbutusstep_control_bytes_sent", "arbutusstep_control_bytes_received"), nil
}

// sumMetrics returns the sum of all samples of the named metrics.
func sumMetrics(text []byte, names ...string) (sum float64) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		for _, n := range names {
			rest, ok := strings.CutPrefix(lines.Text(), n)
			if !ok || !strings.HasPrefix(rest, "{") && !strings.HasPrefix(rest, " ") {
				continue
			}
			// A sample without a valid number counts as zero.
			value, _ := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
			sum += value
		}
	}
	return sum
}

func newChange(id string, base mesh.Version, edits []tree.Edit) forms.Change {
	return forms.Change{ID: mesh.ChangeID(id), Author: "sizing", Base: base, Edits: forms.FromTreeEdits(edits)}
}
