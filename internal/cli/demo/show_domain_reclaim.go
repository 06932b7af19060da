package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// showDomainReclaim reclaims a whole failure domain: its daemon, engines and
// service end at the same time. Their replacements start in another failure
// domain, because a reclaimed one has no capacity.
func (d *demo) showDomainReclaim(ctx context.Context) (string, error) {
	const domain, newDomain = "b", "d"
	version, err := d.chatPoolVersion(ctx)
	if err != nil {
		return "", err
	}
	victims := d.processesInDomain(domain)
	versions := map[string]string{}
	for _, v := range victims {
		if versions[v.Name], err = d.versionOf(ctx, v); err != nil {
			return "", err
		}
	}
	chats := longChatRequests("domain-reclaim")
	answers, err := d.reclaimDuringStreams(ctx, version, "", chats, func() (reclaimTarget, error) {
		return reclaimTarget{domain: domain, victims: victims}, nil
	})
	slot := 0
	d.mu.Lock()
	for _, v := range victims {
		if strings.HasPrefix(v.Name, "entry-") {
			slot = v.slot
		}
		d.engines, d.services, d.daemons = withoutProcess(d.engines, v.Name), withoutProcess(d.services, v.Name), withoutProcess(d.daemons, v.Name)
	}
	d.mu.Unlock()
	for _, v := range victims {
		if restartErr := d.startReplacement(ctx, v, newDomain, versions[v.Name], slot); err == nil {
			err = restartErr
		}
	}
	if err != nil {
		return "", err
	}
	resumes, err := sumResumes(answers)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("domain %s with %d instances was reclaimed with %s notice: %d streams complete byte for byte, resumed %d times",
		domain, len(victims), reclaimNotice, len(answers), resumes), nil
}

// processesInDomain returns the engines, services and daemons of a failure domain.
func (d *demo) processesInDomain(domain string) []*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*process
	for _, list := range [][]*process{d.engines, d.services, d.daemons} {
		for _, p := range list {
			if p.domain == domain {
				out = append(out, p)
			}
		}
	}
	return out
}

// versionOf returns the version of an upstream, or "" for a daemon.
func (d *demo) versionOf(ctx context.Context, p *process) (string, error) {
	if strings.HasPrefix(p.Name, "entry-") {
		return "", nil
	}
	var load struct{ Version string }
	err := callJSON(ctx, http.MethodGet, p.Address, "/v1/load", nil, &load)
	return load.Version, errors.Annotate(err, p.Name)
}

// startReplacement starts a process of the same role as p, which was reclaimed.
func (d *demo) startReplacement(ctx context.Context, p *process, domain, version string, slot int) error {
	name := p.Name + "-new"
	switch {
	case strings.HasPrefix(p.Name, "entry-"):
		return d.startDaemon(ctx, name, domain, slot)
	case strings.HasPrefix(p.Name, "service-"):
		return d.startService(ctx, name, domain)
	}
	return d.startEngine(ctx, name, domain, version)
}
