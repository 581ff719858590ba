package dev

import (
	"context"
	"net/http"
	"os"
	"time"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/stores"
)

// start runs all processes and puts the bundle in force.
func (c *cluster) start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	c.group.Go(func() { c.list(ctx) })
	startAll(ctx, &c.group, c.agents)
	startAll(ctx, &c.group, c.entries)
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.signOff(limited); err != nil {
		return err
	}
	for _, u := range append(c.entries, c.agents...) {
		if err := c.awaitReady(limited, u); err != nil {
			return err
		}
	}
	return nil
}

// list publishes the processes as the platform's lagging list.
func (c *cluster) list(ctx context.Context) {
	for {
		var vms []stores.VM
		for _, u := range append(append([]*unit{}, c.entries...), c.agents...) {
			if vm, ok := u.vm(); ok {
				vms = append(vms, vm)
			}
		}
		if !duty.Pause(ctx, listInterval) {
			return
		}
		c.members.SetList(vms)
	}
}

// signOff proposes the bundle and signs it off, again after a lost answer.
func (c *cluster) signOff(ctx context.Context) error {
	document, err := c.bundle.Encode()
	if err != nil {
		return err
	}
	for {
		proposal, err := c.admin.Propose(ctx, document)
		if err == nil {
			_, err = c.admin.SignOff(ctx, proposal.Digest, proposal.Epoch, false)
		}
		if err == nil || errs.Is(err, errs.Invalid) {
			return err
		}
		c.log.WithField("event", "sign_off").WithError(err).Debug("sign-off failed")
		if !duty.Pause(ctx, retryPause) {
			return errs.Wrap(err, errs.Unavailable, "see the log", "bundle was not signed off in time")
		}
	}
}

func (c *cluster) awaitReady(ctx context.Context, u *unit) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.addresses[1]+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !duty.Pause(ctx, listInterval/10) {
			return errs.New(errs.Unavailable, "see the log", "%s was not ready in time", u.node)
		}
	}
}

// close stops everything, the processes first.
func (c *cluster) close() {
	if c.cancel != nil {
		c.cancel()
	}
	for _, u := range append(c.entries, c.agents...) {
		for unitState(u.state.Load()) != unitGone {
			time.Sleep(listInterval / 100)
		}
	}
	for _, e := range c.engines {
		e.engine.Close()
		e.link.Close()
	}
	for _, s := range c.stores {
		s.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.group.Wait()
	_ = os.RemoveAll(c.folder)
}
