package admin

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/rollout"
)

// ObjectName returns the name of a bundle body in the object store.
func ObjectName(digest string) string { return "bundles/" + digest }

// current stands for the bundle in force in the place of a digest.
const current = "current"

func (s *Server) propose(ctx context.Context, c call) (answer, error) {
	text, err := readBody(c.r)
	if err != nil {
		return answer{}, err
	}
	b, err := bundle.Parse(text)
	if err != nil {
		return answer{}, err
	}
	body, err := b.Canonical()
	if err != nil {
		return answer{}, err
	}
	digest := bundle.Digest(body)
	if err := s.objects.Put(ctx, ObjectName(digest), body); err != nil {
		return answer{}, err
	}
	v := s.control.View()
	proposal := Proposal{
		Digest: digest, Version: b.Version, Epoch: epochOf(v),
		Changes: bundle.Diff(inForce(v), b), Warnings: b.Warnings(),
	}
	for _, refusal := range s.check(v, b).refusals {
		proposal.Refusals = append(proposal.Refusals, refusal.Error())
	}
	return answer{status: http.StatusCreated, body: proposal, epoch: &proposal.Epoch}, nil
}

func inForce(v *facts.View) *bundle.Bundle {
	if !v.HasBundle() {
		return nil
	}
	return v.Index.Bundle
}

var digestForm = regexp.MustCompile("^[0-9a-f]{64}$")

// load reads a stored bundle; the digest may also be "current".
func (s *Server) load(ctx context.Context, digest string) (*bundle.Bundle, string, error) {
	if digest == current {
		v, err := s.readyView()
		if err != nil {
			return nil, "", err
		}
		return v.Index.Bundle, v.Head.BundleDigest, nil
	}
	if !digestForm.MatchString(digest) {
		return nil, "", errs.New(errs.Invalid, `use 64 hexadecimal digits or "current"`, "%q is not a bundle digest", digest)
	}
	body, err := s.objects.Get(ctx, ObjectName(digest))
	if errs.Is(err, errs.NotFound) {
		return nil, "", errs.New(errs.NotFound, "propose the bundle first", "there is no bundle %s", digest)
	}
	if err != nil {
		return nil, "", err
	}
	b, err := bundle.Decode(body, digest)
	return b, digest, err
}

func (s *Server) showBundle(ctx context.Context, c call) (answer, error) {
	b, _, err := s.load(ctx, c.param("digest"))
	return ok(b), err
}

func (s *Server) diffBundle(ctx context.Context, c call) (answer, error) {
	to, toDigest, err := s.load(ctx, c.param("digest"))
	if err != nil {
		return answer{}, err
	}
	against := c.r.URL.Query().Get("against")
	if against == "" {
		against = current
	}
	from, fromDigest, err := s.load(ctx, against)
	if err != nil {
		return answer{}, err
	}
	return ok(Comparison{From: fromDigest, To: toDigest, Changes: bundle.Diff(from, to)}), nil
}

func (s *Server) signOff(ctx context.Context, c call) (answer, error) {
	expected, err := expectedEpoch(c.r)
	if err != nil {
		return answer{}, err
	}
	b, digest, err := s.load(ctx, c.param("digest"))
	if err != nil {
		return answer{}, err
	}
	v := s.control.View()
	if err := checkEpoch(c.r, expected, epochOf(v)); err != nil {
		return answer{}, err
	}
	found := s.check(v, b)
	retry := c.r.URL.Query().Get("retry_withdrawn") == "true"
	if err := found.err(retry); err != nil {
		return answer{}, err
	}
	entry := AuditEntry{Action: ActionSignOff, Subject: digest, Detail: "version " + b.Version}
	head, err := s.permit(ctx, c, entry, func(h *facts.Head, next core.Epoch) {
		h.BundleDigest = digest
		h.BundleEpoch = next
		for _, m := range found.restarted {
			delete(h.Rollouts, m)
		}
		for _, subject := range found.withdrawn {
			h.ClearedAt[subject] = next
		}
	})
	if err != nil {
		return answer{}, err
	}
	result := Permission{Epoch: head.Epoch, BundleDigest: head.BundleDigest, Plans: found.plans}
	return answer{status: http.StatusOK, body: result, epoch: &head.Epoch}, nil
}

// signOffCheck is what a bundle means for the rollouts under way.
type signOffCheck struct {
	// refusals do not depend on the operator's options.
	refusals []error
	// withdrawn lists the versions that the bundle rolls to although they are
	// withdrawn.
	withdrawn []facts.Subject
	// restarted lists the models whose rollout stage starts from the beginning.
	restarted []core.ModelID
	plans     []rollout.Plan
}

func (f signOffCheck) err(retryWithdrawn bool) error {
	if len(f.refusals) > 0 {
		return f.refusals[0]
	}
	if len(f.withdrawn) > 0 && !retryWithdrawn {
		return errs.New(errs.Conflict, "roll to another version, or sign off with retry_withdrawn=true", "version %s is withdrawn", f.withdrawn[0].Name)
	}
	return nil
}

// check compares a bundle with what is in force.
func (s *Server) check(v *facts.View, b *bundle.Bundle) signOffCheck {
	var out signOffCheck
	next := &facts.View{Index: bundle.NewIndex(b)}
	if v != nil {
		next.Head, next.Restrictions = v.Head, v.Restrictions
	}
	for i := range b.Models {
		s.checkModel(&out, v, next, &b.Models[i])
	}
	return out
}

func (s *Server) checkModel(out *signOffCheck, v, next *facts.View, m *bundle.Model) {
	var before *bundle.Model
	if v.HasBundle() {
		before = v.Index.Models[m.ID]
	}
	if sameRollout(before, m) {
		return
	}
	if before != nil {
		out.restarted = append(out.restarted, m.ID)
		if err := checkStable(v, before, m); err != nil {
			out.refusals = append(out.refusals, err)
		}
	}
	if m.Rollout == nil {
		return
	}
	if !next.VersionAllowed(m.ID, m.Rollout.To) {
		out.withdrawn = append(out.withdrawn, facts.VersionSubject(m.ID, m.Rollout.To))
	}
	plan, err := rollout.CheckDeadline(s.now(), m, rollout.Engines(next, m.ID), s.timing)
	if err != nil {
		out.refusals = append(out.refusals, err)
	}
	out.plans = append(out.plans, plan)
}

// sameRollout reports whether a rollout goes on unchanged. A later deadline
// alone does not restart it.
func sameRollout(before, after *bundle.Model) bool {
	if before == nil || before.Stable != after.Stable {
		return false
	}
	if before.Rollout == nil || after.Rollout == nil {
		return before.Rollout == after.Rollout
	}
	return before.Rollout.To == after.Rollout.To
}

// checkStable refuses a bundle that would move all traffic to a version that
// was not rolled out.
func checkStable(v *facts.View, before, after *bundle.Model) error {
	serving := before.Stable
	if rollout.PhaseOf(v, before) == rollout.PhaseDone {
		serving = before.Rollout.To
	}
	if after.Stable == serving {
		return nil
	}
	return errs.New(errs.Invalid, fmt.Sprintf("keep stable at %s and add a rollout to %s", serving, after.Stable),
		"model %s serves %s, and stable %s would take all traffic without a canary", after.ID, serving, after.Stable)
}

func copyHead(h facts.Head) facts.Head {
	h.Rollouts = cloneOrMake(h.Rollouts)
	h.ClearedAt = cloneOrMake(h.ClearedAt)
	return h
}

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func (s *Server) history(ctx context.Context, c call) (answer, error) {
	page, err := s.auditPage(ctx, c)
	page.Entries = slices.DeleteFunc(page.Entries, func(e AuditEntry) bool { return e.Action != ActionSignOff })
	return ok(page), err
}

func (s *Server) audit(ctx context.Context, c call) (answer, error) {
	page, err := s.auditPage(ctx, c)
	return ok(page), err
}

// orEmpty makes JSON show an empty list instead of null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// Sizes of an audit page in entries.
const (
	defaultAuditPage = 100
	maxAuditPage     = 1000
)

func (s *Server) auditPage(ctx context.Context, c call) (AuditPage, error) {
	query := c.r.URL.Query()
	limit := defaultAuditPage
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditPage {
			return AuditPage{}, errs.New(errs.Invalid, fmt.Sprintf("use 1 to %d", maxAuditPage), "limit %q is out of range", text)
		}
		limit = n
	}
	entries, next, err := s.control.Audit(ctx, query.Get("after"), limit)
	return AuditPage{Entries: orEmpty(entries), Next: next}, err
}
