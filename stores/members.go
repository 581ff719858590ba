package stores

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// maxMembershipListBytes is more than twice the size of a list of 12,000 VMs, the
// largest deployment that the system is designed for, at about 1 KB for each VM.
const maxMembershipListBytes = 32 << 20

const (
	// maxMembershipGroups is the maximum number of elements of the list, 1 KiB each.
	maxMembershipGroups = maxMembershipListBytes >> 10
	// maxMembershipGroupBytes is the maximum size in bytes of one element.
	maxMembershipGroupBytes = 64 << 10
)

// VMListerOptions configures a client of the membership list.
type VMListerOptions struct {
	// URL is the address of the membership list.
	URL   string
	Retry RetryOptions
}

// HTTPVMLister reads the membership list in the JSON format of Prometheus HTTP
// service discovery. It is safe for concurrent use.
type HTTPVMLister struct {
	url    string
	client *http.Client
	retry  *retrier
}

var _ VMLister = (*HTTPVMLister)(nil)

// NewVMLister returns a client of the membership list. It sends nothing. Errors:
// Invalid.
func NewVMLister(o VMListerOptions) (*HTTPVMLister, error) {
	if err := checkURL(o.URL, "membership list"); err != nil {
		return nil, err
	}
	return &HTTPVMLister{url: o.URL, client: newHTTPClient(maxMembershipListBytes + 1), retry: newRetrier(o.Retry)}, nil
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
		return nil, errs.Wrap(err, errs.Invalid, "check the address of the membership list", "request for the membership list cannot be built")
	}
	req.Header.Set("Accept", "application/json")
	response, err := l.client.Do(req)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "retry later", "service of the membership list did not respond")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests {
		return nil, errs.New(errs.Unavailable, "retry later", "service of the membership list responded with status %d", response.StatusCode)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errs.New(errs.Invalid, "check the address of the membership list", "service of the membership list responded with status %d", response.StatusCode)
	}
	return readBounded(response.Body, maxMembershipListBytes)
}

// targetGroup is one element of the service discovery format: addresses (IP:port)
// and the labels that apply to all of them.
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

const membershipListRemedy = "keep the previous membership list and check the response of the platform"

// decodeList rejects the complete list if one element is malformed. Without that
// element, a running VM would appear to be removed. It decodes one element at a time,
// because small elements take many times their size.
func decodeList(body []byte) ([]VM, error) {
	elements := json.NewDecoder(bytes.NewReader(body))
	if start, err := elements.Token(); err != nil || start != json.Delim('[') {
		return nil, errs.New(errs.Corrupt, membershipListRemedy, "membership list is no JSON array")
	}
	vms := []VM{}
	for count := 0; elements.More(); count++ {
		if count == maxMembershipGroups {
			return nil, errs.New(errs.Corrupt, membershipListRemedy, "membership list has more than %d elements", maxMembershipGroups)
		}
		group, err := decodeGroup(elements)
		if err != nil {
			return nil, err
		}
		for _, target := range group.Targets {
			vm, err := decodeVM(target, group.Labels)
			if err != nil {
				return nil, err
			}
			vms = append(vms, vm)
		}
	}
	if err := checkListEnd(elements); err != nil {
		return nil, err
	}
	return vms, nil
}

func decodeGroup(elements *json.Decoder) (targetGroup, error) {
	var text json.RawMessage
	if err := elements.Decode(&text); err != nil {
		return targetGroup{}, errs.Wrap(err, errs.Corrupt, membershipListRemedy, "membership list is malformed")
	}
	if len(text) > maxMembershipGroupBytes {
		return targetGroup{}, errs.New(errs.Corrupt, membershipListRemedy, "element of the membership list has more than %d bytes", maxMembershipGroupBytes)
	}
	var group targetGroup
	err := json.Unmarshal(text, &group)
	return group, errs.Wrap(err, errs.Corrupt, membershipListRemedy, "element of the membership list is malformed")
}

// checkListEnd returns an error unless the list ends here and nothing follows it.
func checkListEnd(elements *json.Decoder) error {
	if _, err := elements.Token(); err != nil {
		return errs.Wrap(err, errs.Corrupt, membershipListRemedy, "membership list was cut")
	}
	if _, err := elements.Token(); !errors.Is(err, io.EOF) {
		return errs.New(errs.Corrupt, membershipListRemedy, "membership list is followed by other text")
	}
	return nil
}

func decodeVM(target string, labels targetLabels) (VM, error) {
	if _, err := netip.ParseAddrPort(target); err != nil {
		return VM{}, errs.Wrap(err, errs.Corrupt, membershipListRemedy, "target %q of the membership list is not an IP:port address", target)
	}
	incarnation, err := strconv.ParseUint(labels.Incarnation, 10, 64)
	if err != nil {
		return VM{}, errs.Wrap(err, errs.Corrupt, membershipListRemedy, "incarnation of target %s in the membership list is not an unsigned integer", target)
	}
	state := VMState(labels.State)
	if labels.VM == "" || (state != VMLive && state != VMLeaving) {
		return VM{}, errs.New(errs.Corrupt, membershipListRemedy, "target %s of the membership list has vm %q and state %q", target, labels.VM, labels.State)
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
