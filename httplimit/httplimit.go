// Package httplimit bounds what a process reads and keeps of HTTP responses, so that a
// faulty server that sends bytes without end does not use up the memory of the machine.
package httplimit

import (
	"net/http"

	"waxwingtide.example/waxwingtide/errs"
)

// MaxHeadBytes is the maximum size in bytes of the status line and headers of a response,
// interim responses included. net/http allows 10 MiB, and headers of a few bytes take many
// times their size when they are parsed.
const MaxHeadBytes = 64 << 10

// NewTransport returns a transport with the settings of http.DefaultTransport that accepts
// heads of up to MaxHeadBytes and whose connections are those of ReportResets.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = MaxHeadBytes
	transport.DialContext = ReportResets(transport.DialContext)
	return transport
}

// NewClient returns a client with a NewTransport and without a time limit, which leaves
// the limit to the context.
func NewClient() *http.Client {
	return &http.Client{Transport: NewTransport()}
}

// maxStatus is the highest status of HTTP. net/http accepts all numbers up to 999.
const maxStatus = 599

// checkStatus returns an error of kind Unknown if the status of a response is not a final
// one of HTTP. The request may have taken effect then.
func checkStatus(response *http.Response) error {
	if response.StatusCode >= http.StatusOK && response.StatusCode <= maxStatus {
		return nil
	}
	return errs.New(errs.Unknown, "report this as a defect of the server", "response has the status %.20q", response.Status)
}
