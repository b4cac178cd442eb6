package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// keySource fetches idempotency keys in batches from all hosts. The host that issued a key handles the requests with
// that key, so a batch from a single host would send all requests to that host for a while.
type keySource struct {
	generator *Generator

	// fetchLock guards keys: it holds one element while a goroutine takes or fetches keys. It is a channel instead of a
	// mutex, because it is held while hosts answer and a waiting goroutine must notice the end of its context.
	fetchLock chan struct{}
	keys      []string
}

// take returns an unused key. It fetches a new batch if none is left.
func (s *keySource) take(ctx context.Context) (string, error) {
	select {
	case s.fetchLock <- struct{}{}:
		defer func() { <-s.fetchLock }()
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if len(s.keys) == 0 {
		keys, err := s.fetch(ctx)
		if err != nil {
			return "", err
		}
		s.keys = keys
	}
	key := s.keys[len(s.keys)-1]
	s.keys = s.keys[:len(s.keys)-1]
	return key, nil
}

// fetch returns keys from every host that issues some, in random order. It fails only if no host does.
func (s *keySource) fetch(ctx context.Context) ([]string, error) {
	g := s.generator
	var all []string
	var errs error
	for _, host := range g.hosts {
		if g.options.IsHealthy != nil && !g.options.IsHealthy(host) {
			continue
		}
		keys, err := g.fetchKeys(ctx, g.options.Hosts[host])
		errs = errors.Join(errs, err)
		all = append(all, keys...)
	}
	if len(all) == 0 {
		return nil, errors.Join(errors.New("no host issued keys"), errs)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all, nil
}

func (g *Generator) fetchKeys(ctx context.Context, base string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s/v1/keys?count=%d", base, max(1, keysPerBatch/len(g.hosts))), nil)
	if err != nil {
		return nil, err
	}
	response, err := g.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Keys []string `json:"keys"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return nil, err
	}
	if len(reply.Keys) == 0 {
		return nil, fmt.Errorf("%s issued no keys: status %d", base, response.StatusCode)
	}
	return reply.Keys, nil
}
