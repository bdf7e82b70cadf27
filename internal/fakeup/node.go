package fakeup

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// renewDivisor divides the node's renewal deadline to give the renewal interval.
	renewDivisor = 3
	// announceRetryDelay is the delay after a failed announcement.
	announceRetryDelay = 250 * time.Millisecond
	// announceTimeout limits the duration of one announcement.
	announceTimeout = time.Second
	maxNodeResponse = 64 << 10
)

// nodeClient announces the upstream to its host's node and renews the
// announcement.
type nodeClient struct {
	// transport is not shared, so that no connection outlives the upstream.
	transport http.Transport

	mutex sync.Mutex
	// cancel stops the renewals, nil while there are none; guarded by mutex.
	cancel context.CancelFunc
	// done is closed when the renewals have ended; guarded by mutex.
	done chan struct{}
}

// startAnnouncing announces the upstream and renews the announcement until
// stopAnnouncing.
func (n *nodeClient) startAnnouncing(group *sync.WaitGroup, options Options, address netip.AddrPort) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.mutex.Lock()
	n.cancel, n.done = cancel, done
	n.mutex.Unlock()
	group.Go(func() {
		defer close(done)
		for {
			wait, err := n.announce(ctx, options, address)
			if err != nil {
				wait = announceRetryDelay
			}
			if pause.For(ctx, wait) != nil {
				return
			}
		}
	})
}

// stopAnnouncing stops the renewals and waits for the one in progress.
func (n *nodeClient) stopAnnouncing() {
	n.mutex.Lock()
	cancel, done := n.cancel, n.done
	n.cancel = nil
	n.mutex.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

func (n *nodeClient) closeIdle() {
	n.transport.CloseIdleConnections()
}

// announce announces the upstream once and returns the time until the renewal.
func (n *nodeClient) announce(ctx context.Context, options Options, address netip.AddrPort) (wait time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(struct {
		Customer    mesh.Customer  `json:"customer"`
		Service     mesh.Service   `json:"service"`
		Address     netip.AddrPort `json:"address"`
		Slots       int            `json:"slots"`
		Connections int            `json:"connections"`
	}{options.Customer, options.Service, address, options.Slots, options.MaxConnections})
	if err != nil {
		return 0, err
	}
	var response struct {
		RenewWithin string `json:"renewWithin"`
	}
	data, err := n.do(ctx, options.Node, http.MethodPut, "/v1/upstream", body)
	if err != nil {
		return 0, err
	}
	if err = json.Unmarshal(data, &response); err != nil {
		return 0, err
	}
	within, err := time.ParseDuration(response.RenewWithin)
	if err == nil && within <= 0 {
		err = fmt.Errorf("renewWithin is %v", within)
	}
	return within / renewDivisor, err
}

// send makes a call to the node and ignores the body of the response.
func (n *nodeClient) send(ctx context.Context, address netip.AddrPort, method, path string, body []byte) (err error) {
	_, err = n.do(ctx, address, method, path, body)
	return err
}

func (n *nodeClient) do(ctx context.Context, address netip.AddrPort, method, path string, body []byte) (data []byte, err error) {
	defer annotate(&err, method+" "+path)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := n.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxNodeResponse)); err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("status %d: %.200s", response.StatusCode, data)
	}
	return data, nil
}
