package proxy

import (
	"context"
	"net/http"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
)

// healthCheckTimeout limits one health check of the upstream.
const healthCheckTimeout = 400 * time.Millisecond

// startHealthCheck checks the health of the upstream of this host and posts the
// result. It runs on the control thread and does not block.
func (p *Proxy) startHealthCheck(check cells.HealthCheck) {
	p.goroutines.Go(func() { p.cells.HealthResults.Post(p.checkHealth(check)) })
}

func (p *Proxy) checkHealth(check cells.HealthCheck) (result cells.HealthResult) {
	defer func() { result.Address = check.Address }()
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+check.Address.String()+check.Path, http.NoBody)
	if err != nil {
		return cells.HealthResult{Reason: err.Error()}
	}
	end := p.local.handler.BeginCheck()
	response, err := p.healthClient.Do(request)
	end(err == nil)
	if err != nil {
		return cells.HealthResult{Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	result.Instance = p.platform.Registrations.ServingInstance(response.StatusCode, response.Header)
	if result.Instance == "" {
		result.Reason = response.Status
	}
	return result
}
