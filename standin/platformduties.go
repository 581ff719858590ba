package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// maxDutyCallBytes is the maximum size of a call to PlatformDuties.
const maxDutyCallBytes = 1 << 20

// DutyCall is a call that PlatformDuties has accepted.
type DutyCall struct {
	// Machine is the listener at which the call arrived; Holder is the name that it bears.
	Machine string
	Holder  string
	Fence   uint64
	// Subject is usage, or the service and the zone of an order.
	Subject string
	// Window and Counts are those of a usage report. Counts is the same text for the same
	// counts.
	Window int64
	Counts string
	At     time.Time
}

// PlatformDuties is a stand-in for the users' platform's interface for duties that one
// process performs at a time. It checks no fence.
type PlatformDuties struct {
	// Observe is called with each accepted call before it is answered.
	Observe func(DutyCall)
	// dark makes the interface refuse all calls with status 503.
	dark atomic.Bool
	// loseAnswers makes calls take effect without an answer.
	loseAnswers atomic.Bool
}

// SetDark makes the interface refuse all calls, or accept them again.
func (d *PlatformDuties) SetDark(dark bool) { d.dark.Store(dark) }

// SetLoseAnswers makes calls take effect without an answer.
func (d *PlatformDuties) SetLoseAnswers(lose bool) { d.loseAnswers.Store(lose) }

// Machine returns the handler for the calls of one machine.
func (d *PlatformDuties) Machine(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, err := readDutyCall(http.MaxBytesReader(w, r.Body, maxDutyCallBytes), r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if d.dark.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		call.Machine, call.At = name, time.Now()
		d.Observe(call)
		if d.loseAnswers.Load() {
			panic(http.ErrAbortHandler)
		}
	})
}

func readDutyCall(body io.Reader, r *http.Request) (DutyCall, error) {
	var fields struct {
		Window  int64          `json:"window"`
		Counts  map[string]int `json:"counts"`
		Service string         `json:"service"`
		Zone    string         `json:"zone"`
	}
	if err := json.NewDecoder(body).Decode(&fields); err != nil {
		return DutyCall{}, err
	}
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		return DutyCall{}, err
	}
	call := DutyCall{Holder: r.Header.Get("Duty-Holder"), Fence: fence, Subject: "usage", Window: fields.Window}
	if r.URL.Path == "/scale" {
		call.Subject = fields.Service + "/" + fields.Zone
		return call, nil
	}
	counts, err := json.Marshal(fields.Counts)
	call.Counts = string(counts)
	return call, err
}
