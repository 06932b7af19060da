package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// showDomainReclaim reclaims a whole failure domain: its daemon, its engines
// and its service instance end together. Their replacements start in another
// failure domain, since a reclaimed one has no capacity.
func (d *demo) showDomainReclaim(ctx context.Context) (string, error) {
	const domain, other = "b", "d"
	version, err := d.effective(ctx)
	if err != nil {
		return "", err
	}
	victims := d.inDomain(domain)
	versions := map[string]string{}
	for _, v := range victims {
		if versions[v.Name], err = d.versionOf(ctx, v); err != nil {
			return "", err
		}
	}
	chats := longChats("domain-reclaim")
	answers, err := d.reclaimDuring(ctx, version, "", chats, func() (reclaim, error) {
		return reclaim{domain: domain, victims: victims}, nil
	})
	slot := 0
	d.mu.Lock()
	for _, v := range victims {
		if strings.HasPrefix(v.Name, "entry-") {
			slot = v.slot
		}
		d.engines, d.services, d.daemons = without(d.engines, v.Name), without(d.services, v.Name), without(d.daemons, v.Name)
	}
	d.mu.Unlock()
	for _, v := range victims {
		if restartErr := d.replace(ctx, v, other, versions[v.Name], slot); err == nil {
			err = restartErr
		}
	}
	if err != nil {
		return "", err
	}
	resumes, err := resumesOf(answers)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("domain %s with %d instances left at %s notice: %d streams complete byte for byte, resumed %d times",
		domain, len(victims), reclaimNotice, len(answers), resumes), nil
}

// inDomain lists the processes of a failure domain.
func (d *demo) inDomain(domain string) []*process {
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

// versionOf returns the version of an upstream; "" for a daemon.
func (d *demo) versionOf(ctx context.Context, p *process) (string, error) {
	if strings.HasPrefix(p.Name, "entry-") {
		return "", nil
	}
	var load struct{ Version string }
	err := call(ctx, http.MethodGet, p.Address, "/v1/load", nil, &load)
	return load.Version, errors.Annotate(err, p.Name)
}

// replace starts a successor of a process that was reclaimed.
func (d *demo) replace(ctx context.Context, p *process, domain, version string, slot int) error {
	name := p.Name + "-new"
	switch {
	case strings.HasPrefix(p.Name, "entry-"):
		return d.startDaemon(ctx, name, domain, slot)
	case strings.HasPrefix(p.Name, "service-"):
		return d.startService(ctx, name, domain)
	}
	return d.startEngine(ctx, name, domain, version)
}
