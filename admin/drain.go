package admin

import (
	"context"
	"fmt"
	"net/http"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
)

func (s *Server) drainDomain(ctx context.Context, c call) (answer, error) {
	return s.drain(ctx, c, facts.SubjectDomain)
}

func (s *Server) drainUpstream(ctx context.Context, c call) (answer, error) {
	return s.drain(ctx, c, facts.SubjectUpstream)
}

func (s *Server) returnDomain(ctx context.Context, c call) (answer, error) {
	return s.returnSubject(ctx, c, facts.SubjectDomain, ActionReturnDomain)
}

func (s *Server) returnUpstream(ctx context.Context, c call) (answer, error) {
	return s.returnSubject(ctx, c, facts.SubjectUpstream, ActionReturnUpstream)
}

var subjectKinds = map[facts.SubjectKind]string{
	facts.SubjectDomain: "domain", facts.SubjectUpstream: "upstream", facts.SubjectVersion: "version",
}

// covers reports whether a drain of the subject closes the upstream.
func covers(subject facts.Subject, u *bundle.Upstream) bool {
	if subject.Kind == facts.SubjectDomain {
		return string(u.FailureDomain) == subject.Name
	}
	return string(u.ID) == subject.Name
}

// subject returns the failure domain or upstream that the path names.
func (s *Server) subject(c call, kind facts.SubjectKind) (*facts.View, facts.Subject, error) {
	subject := facts.Subject{Kind: kind, Name: c.param("name")}
	v, err := s.readyView()
	if err != nil {
		return nil, subject, err
	}
	for i := range v.Index.Bundle.Upstreams {
		if covers(subject, &v.Index.Bundle.Upstreams[i]) {
			return v, subject, nil
		}
	}
	for _, store := range v.Index.Bundle.Stores {
		if kind == facts.SubjectDomain && string(store.FailureDomain) == subject.Name {
			return v, subject, nil
		}
	}
	return nil, subject, errs.New(errs.NotFound, "use a name from the bundle in force", "there is no %s %q", subjectKinds[kind], subject.Name)
}

func (s *Server) drain(ctx context.Context, c call, kind facts.SubjectKind) (answer, error) {
	reason, err := readReason(c)
	if err != nil {
		return answer{}, err
	}
	v, subject, err := s.subject(c, kind)
	if err != nil {
		return answer{}, err
	}
	result := Drain{Subject: subject.Name, Rooms: roomAfter(v, s.control.Loads(), subject), Stamp: epochOf(v)}
	if reason.DryRun {
		return ok(result), nil
	}
	if err := checkRoom(result.Rooms, reason.Force); err != nil {
		return answer{}, err
	}
	result.Stamp, err = s.restrict(ctx, c, subject, reason.Reason)
	result.Applied = err == nil
	return ok(result), err
}

func checkRoom(rooms []Room, force bool) error {
	for _, room := range rooms {
		if room.Upstreams == 0 && !force {
			return errs.New(errs.Conflict, "return another failure domain or upstream first, or drain with force",
				"%s %s would have no open upstream left", room.Kind, room.Name)
		}
	}
	return nil
}

// roomAfter returns what is left for each model and service that the drain
// takes an open upstream from, in the bundle's order.
func roomAfter(v *facts.View, loads []UpstreamLoad, subject facts.Subject) []Room {
	load := make(map[core.UpstreamID]int, len(loads))
	for _, l := range loads {
		load[l.Upstream] = l.Running + l.Queued
	}
	rooms := []Room{}
	for _, m := range v.Index.Bundle.Models {
		if room, affected := roomOf(v, load, subject, v.Index.Engines[m.ID]); affected {
			room.Kind, room.Name = "model", string(m.ID)
			rooms = append(rooms, room)
		}
	}
	for _, service := range v.Index.Bundle.Services {
		if room, affected := roomOf(v, load, subject, v.Index.Instances[service.ID]); affected {
			room.Kind, room.Name = "service", string(service.ID)
			rooms = append(rooms, room)
		}
	}
	return rooms
}

func roomOf(v *facts.View, load map[core.UpstreamID]int, subject facts.Subject, upstreams []*bundle.Upstream) (Room, bool) {
	var room Room
	affected := false
	for _, u := range upstreams {
		room.Load += load[u.ID]
		if !v.UpstreamAllowed(u) {
			continue
		}
		if covers(subject, u) {
			affected = true
			continue
		}
		room.Upstreams++
		room.Capacity += u.MaxWindow
	}
	room.Shed = max(0, room.Load-room.Capacity)
	return room, affected
}

func (s *Server) returnSubject(ctx context.Context, c call, kind facts.SubjectKind, action string) (answer, error) {
	_, subject, err := s.subject(c, kind)
	if err != nil {
		return answer{}, err
	}
	entry := AuditEntry{Action: action, Subject: subject.Name, Detail: fmt.Sprintf("%s returned", subjectKinds[kind])}
	head, err := s.permit(ctx, c, entry, func(h *facts.Head, next core.Epoch) { h.ClearedAt[subject] = next })
	if err != nil {
		return answer{}, err
	}
	result := Permission{Epoch: head.Epoch, BundleDigest: head.BundleDigest}
	return answer{status: http.StatusOK, body: result, epoch: &head.Epoch}, nil
}
