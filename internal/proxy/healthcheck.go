package proxy

import (
	"context"
	"net/http"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
)

// checkTimeout bounds the answer of an upstream that is asked whether it serves.
const checkTimeout = 400 * time.Millisecond

// check asks the upstream beside the proxy whether it serves, and posts what it
// answers. It runs on the control thread and does not wait.
func (p *Proxy) check(check cells.HealthCheck) {
	p.running.Go(func() { p.cells.HealthResults.Post(p.ask(check)) })
}

func (p *Proxy) ask(check cells.HealthCheck) (checked cells.HealthResult) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+check.Address.String()+check.Path, http.NoBody)
	if err != nil {
		return cells.HealthResult{Reason: err.Error()}
	}
	response, err := p.asks.Do(request)
	if err != nil {
		return cells.HealthResult{Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	checked.Instance = p.platform.Registrations.ServingInstance(response.StatusCode, response.Header)
	if checked.Instance == "" {
		checked.Reason = response.Status
	}
	return checked
}
