package stores

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// maxListBytes allows about 1 KB for each of the target's 12,000 VMs with room
// to spare.
const maxListBytes = 32 << 20

// VMListerOptions configures a client of the membership list.
type VMListerOptions struct {
	// URL is the address of the list.
	URL   string
	Retry RetryOptions
}

// HTTPVMLister reads the list as Prometheus HTTP service discovery JSON. It is
// safe for concurrent use.
type HTTPVMLister struct {
	url    string
	client *http.Client
	retry  *retrier
}

var _ VMLister = (*HTTPVMLister)(nil)

// NewVMLister returns a client of the membership list. Errors: Invalid.
func NewVMLister(o VMListerOptions) (*HTTPVMLister, error) {
	if err := checkURL(o.URL, "membership list"); err != nil {
		return nil, err
	}
	return &HTTPVMLister{url: o.URL, client: newHTTPClient(), retry: newRetrier(o.Retry)}, nil
}

// List implements VMLister. Errors: Unavailable, Invalid, Corrupt.
func (l *HTTPVMLister) List(ctx context.Context) ([]VM, error) {
	var body []byte
	err := l.retry.run(ctx, func(ctx context.Context) error {
		var err error
		body, err = l.fetch(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	return decodeList(body)
}

func (l *HTTPVMLister) fetch(ctx context.Context) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "check the address of the membership list", "membership list")
	}
	req.Header.Set("Accept", "application/json")
	reply, err := l.client.Do(req)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "retry later", "membership list did not answer")
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode >= http.StatusInternalServerError || reply.StatusCode == http.StatusTooManyRequests {
		return nil, errs.New(errs.Unavailable, "retry later", "membership list answered with status %d", reply.StatusCode)
	}
	if reply.StatusCode != http.StatusOK {
		return nil, errs.New(errs.Invalid, "check the address of the membership list", "membership list answered with status %d", reply.StatusCode)
	}
	return readBounded(reply.Body, maxListBytes)
}

// targetGroup is one entry of the discovery format.
type targetGroup struct {
	Targets []string     `json:"targets"`
	Labels  targetLabels `json:"labels"`
}

type targetLabels struct {
	VM            string `json:"vm"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Incarnation   string `json:"incarnation"`
}

const listRemedy = "keep the last list and check what the platform sends"

// decodeList refuses the whole list when one entry is malformed, because a
// list without that entry would look like a VM that has gone.
func decodeList(body []byte) ([]VM, error) {
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, errs.Wrap(err, errs.Corrupt, listRemedy, "membership list is malformed")
	}
	vms := make([]VM, 0, len(groups))
	for _, group := range groups {
		for _, target := range group.Targets {
			vm, err := decodeVM(target, group.Labels)
			if err != nil {
				return nil, err
			}
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

func decodeVM(target string, labels targetLabels) (VM, error) {
	if _, err := netip.ParseAddrPort(target); err != nil {
		return VM{}, errs.Wrap(err, errs.Corrupt, listRemedy, "target %q of the membership list is not IP:port", target)
	}
	incarnation, err := strconv.ParseUint(labels.Incarnation, 10, 64)
	if err != nil {
		return VM{}, errs.Wrap(err, errs.Corrupt, listRemedy, "incarnation of %s in the membership list", target)
	}
	state := VMState(labels.State)
	if labels.VM == "" || (state != VMLive && state != VMLeaving) {
		return VM{}, errs.New(errs.Corrupt, listRemedy, "target %s of the membership list has vm %q and state %q", target, labels.VM, labels.State)
	}
	return VM{
		Node:          core.NodeID(labels.VM),
		Role:          labels.Role,
		FailureDomain: core.FailureDomain(labels.FailureDomain),
		State:         state,
		Incarnation:   core.Incarnation(incarnation),
		Address:       target,
	}, nil
}
