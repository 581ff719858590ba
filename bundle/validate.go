package bundle

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// Fault is one thing that is wrong with a bundle.
type Fault struct {
	// Path leads to the field, for example "models[0].rollout.to".
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the fault in one line.
func (f Fault) String() string { return f.Path + ": " + f.Problem + "; " + f.Remedy }

// Faults is everything that is wrong with a bundle.
type Faults []Fault

// Error returns the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

var fields = newFieldValidator()

func newFieldValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// Validate returns every fault of the bundle at once as an error of kind
// Invalid that wraps Faults, or nil.
func (b *Bundle) Validate() error {
	c := &checker{bundle: b}
	c.checkFields()
	c.checkIdentifiers()
	c.checkModels()
	c.checkUpstreams()
	c.checkServices()
	c.checkWorkspaces()
	if len(c.faults) == 0 {
		return nil
	}
	return errs.Wrap(c.faults, errs.Invalid, "correct the listed faults", "bundle has %d faults", len(c.faults))
}

// FaultsOf returns the faults that an error of Parse or Validate wraps.
func FaultsOf(err error) Faults {
	var f Faults
	errors.As(err, &f)
	return f
}

type checker struct {
	bundle *Bundle
	faults Faults
}

func (c *checker) add(remedy, path, problem string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

// checkFields reports the violations of the fields' validate tags.
func (c *checker) checkFields() {
	err := fields.Struct(c.bundle)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return
	}
	for _, v := range violations {
		path := strings.TrimPrefix(v.Namespace(), "Bundle.")
		c.add(fieldRemedy(v), path, "value %q breaks the rule %s", abbreviate(fmt.Sprint(v.Value())), ruleText(v))
	}
}

func ruleText(v validator.FieldError) string {
	if v.Param() == "" {
		return v.Tag()
	}
	return v.Tag() + "=" + v.Param()
}

const abbreviatedRunes = 40

func abbreviate(s string) string {
	runes := []rune(s)
	if len(runes) <= abbreviatedRunes {
		return s
	}
	return string(runes[:abbreviatedRunes]) + "…"
}

func fieldRemedy(v validator.FieldError) string {
	switch v.Tag() {
	case "required", "required_if":
		return "set the field"
	case "oneof":
		return "use one of: " + v.Param()
	case "hostname_port":
		return "write IP:port"
	case "unique":
		return "remove the repeated entry"
	case "hexadecimal", "len":
		return "write the SHA-256 of the key as 64 hexadecimal digits"
	default:
		return "keep the value within " + ruleText(v)
	}
}

// identifier is one name in the document with its path.
type identifier struct {
	path string
	name string
}

func list[T any](field string, items []T, name func(T) string) []identifier {
	out := make([]identifier, len(items))
	for i, item := range items {
		out[i] = identifier{path: fmt.Sprintf("%s[%d]", field, i), name: name(item)}
	}
	return out
}

// unique reports names that occur twice in one group.
func (c *checker) unique(what, suffix string, group []identifier) {
	first := make(map[string]string, len(group))
	for _, id := range group {
		if id.name == "" {
			continue
		}
		if earlier, ok := first[id.name]; ok {
			c.add("give each one its own value", id.path+suffix, "%s %q is already used at %s", what, abbreviate(id.name), earlier+suffix)
			continue
		}
		first[id.name] = id.path
	}
}

// wellFormed reports names that could not be used in a URL path or in the
// joined forms model@version and model+adapter.
func (c *checker) wellFormed(suffix string, group []identifier) {
	for _, id := range group {
		if strings.IndexFunc(id.name, notInIdentifier) >= 0 {
			c.add("use letters, digits and the characters . _ - :", id.path+suffix, "identifier %q has a character that is not allowed", abbreviate(id.name))
		}
	}
}

func notInIdentifier(r rune) bool {
	return !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("._-:", r)
}

func (c *checker) checkIdentifiers() {
	b := c.bundle
	models := list("models", b.Models, func(m Model) string { return string(m.ID) })
	upstreams := list("upstreams", b.Upstreams, func(u Upstream) string { return string(u.ID) })
	services := list("services", b.Services, func(s Service) string { return string(s.ID) })
	workspaces := list("workspaces", b.Workspaces, func(w Workspace) string { return string(w.ID) })
	stores := list("kept_cache_stores", b.Stores, func(s Store) string { return s.ID })
	for _, group := range [][]identifier{models, upstreams, services, workspaces, stores} {
		c.unique("identifier", ".id", group)
		c.wellFormed(".id", group)
	}
	agents := list("upstreams", b.Upstreams, func(u Upstream) string { return u.Agent })
	c.unique("address", ".agent", agents)
	addresses := list("kept_cache_stores", b.Stores, func(s Store) string { return s.Address })
	c.unique("address", ".address", addresses)
	domains := list("upstreams", b.Upstreams, func(u Upstream) string { return string(u.FailureDomain) })
	storeDomains := list("kept_cache_stores", b.Stores, func(s Store) string { return string(s.FailureDomain) })
	c.wellFormed(".failure_domain", append(domains, storeDomains...))
	c.checkCallers()
}

func (c *checker) checkCallers() {
	var keys []identifier
	for i, w := range c.bundle.Workspaces {
		field := fmt.Sprintf("workspaces[%d].callers", i)
		callers := list(field, w.Callers, func(x Caller) string { return string(x.ID) })
		c.unique("identifier", ".id", callers)
		c.wellFormed(".id", callers)
		keys = append(keys, list(field, w.Callers, func(x Caller) string { return strings.ToLower(x.KeySHA256) })...)
	}
	// A key must name one workspace only, or answers could cross workspaces.
	c.unique("key", ".key_sha256", keys)
}

func (c *checker) checkModels() {
	engines := make(map[core.ModelID][]*Upstream)
	for i := range c.bundle.Upstreams {
		u := &c.bundle.Upstreams[i]
		if u.Kind == KindEngine {
			engines[u.Model] = append(engines[u.Model], u)
		}
	}
	for i, m := range c.bundle.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.wellFormed("", list(path+".versions", m.Versions, func(v core.WeightVersion) string { return string(v) }))
		c.wellFormed("", list(path+".adapters", m.Adapters, func(a core.AdapterID) string { return string(a) }))
		if m.Stable != "" && !slices.Contains(m.Versions, m.Stable) {
			c.add("add it to versions or choose a listed one", path+".stable", "version %q is not listed in versions", abbreviate(string(m.Stable)))
		}
		if len(engines[m.ID]) == 0 {
			c.add("add an upstream of kind engine or remove the model", path, "model %q has no engine", abbreviate(string(m.ID)))
		}
		if m.Rollout != nil {
			c.checkRollout(path+".rollout", m, len(engines[m.ID]))
		}
	}
}

func (c *checker) checkRollout(path string, m Model, engines int) {
	r := m.Rollout
	if r.To != "" && !slices.Contains(m.Versions, r.To) {
		c.add("add it to versions or choose a listed one", path+".to", "version %q is not listed in versions", abbreviate(string(r.To)))
	}
	if r.To == m.Stable {
		c.add("choose another version or remove the rollout", path+".to", "version %q is already the stable version", abbreviate(string(r.To)))
	}
	// One engine stays on the stable version, which the new one is judged against.
	if engines > 0 && r.CanaryUpstreams >= engines {
		c.add("use fewer canary upstreams or add engines", path+".canary_upstreams",
			"%d canary upstreams leave none of the %d engines on the stable version", r.CanaryUpstreams, engines)
	}
}

func (c *checker) checkUpstreams() {
	models := set(c.bundle.Models, func(m Model) core.ModelID { return m.ID })
	services := set(c.bundle.Services, func(s Service) core.ServiceID { return s.ID })
	for i, u := range c.bundle.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		switch u.Kind {
		case KindEngine:
			c.known(path+".model", "model", string(u.Model), models[u.Model])
			if u.Service != "" {
				c.add("remove it or use kind service", path+".service", "an engine has no service")
			}
		case KindService:
			c.known(path+".service", "service", string(u.Service), services[u.Service])
			if u.Model != "" {
				c.add("remove it or use kind engine", path+".model", "a plain service has no model")
			}
		}
	}
}

func (c *checker) checkServices() {
	instances := set(c.bundle.Upstreams, func(u Upstream) core.ServiceID { return u.Service })
	for i, s := range c.bundle.Services {
		path := fmt.Sprintf("services[%d]", i)
		if !instances[s.ID] {
			c.add("add an upstream of kind service or remove the service", path, "service %q has no upstream", abbreviate(string(s.ID)))
		}
		for j, rule := range s.NonRepeatable {
			if !validCallRule(rule) {
				c.add(`write a method and a path prefix, for example "POST /entries"`,
					fmt.Sprintf("%s.non_repeatable[%d]", path, j), "rule %q is not a method and a path prefix", abbreviate(rule))
			}
		}
	}
}

func validCallRule(rule string) bool {
	method, prefix, ok := strings.Cut(rule, " ")
	return ok && method != "" && method == strings.ToUpper(method) && strings.HasPrefix(prefix, "/")
}

func (c *checker) checkWorkspaces() {
	services := set(c.bundle.Services, func(s Service) core.ServiceID { return s.ID })
	models := make(map[core.ModelID]Model, len(c.bundle.Models))
	for _, m := range c.bundle.Models {
		models[m.ID] = m
	}
	for i, w := range c.bundle.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		adapters := make(map[core.AdapterID]bool)
		for j, id := range w.Models {
			m, ok := models[id]
			c.known(fmt.Sprintf("%s.models[%d]", path, j), "model", string(id), ok)
			for _, a := range m.Adapters {
				adapters[a] = true
			}
		}
		for j, id := range w.Adapters {
			c.known(fmt.Sprintf("%s.adapters[%d]", path, j), "adapter of the workspace's models", string(id), adapters[id])
		}
		for j, id := range w.Services {
			c.known(fmt.Sprintf("%s.services[%d]", path, j), "service", string(id), services[id])
		}
		if len(w.Models)+len(w.Services) == 0 {
			c.add("list models or services, or remove the workspace", path, "workspace %q can use nothing", abbreviate(string(w.ID)))
		}
	}
}

// known reports a reference to an object that the bundle does not define. An
// empty reference is reported by checkFields.
func (c *checker) known(path, what, name string, ok bool) {
	if name != "" && !ok {
		c.add("define it or correct the name", path, "there is no %s %q", what, abbreviate(name))
	}
}

func set[T any, K comparable](items []T, key func(T) K) map[K]bool {
	out := make(map[K]bool, len(items))
	for _, item := range items {
		out[key(item)] = true
	}
	return out
}

// Warnings lists what is allowed but leaves no service when a failure domain
// is drained.
func (b *Bundle) Warnings() Faults {
	all := make(map[core.FailureDomain]bool)
	engines := make(map[core.ModelID]map[core.FailureDomain]bool)
	for _, u := range b.Upstreams {
		all[u.FailureDomain] = true
		if u.Kind != KindEngine {
			continue
		}
		if engines[u.Model] == nil {
			engines[u.Model] = make(map[core.FailureDomain]bool)
		}
		engines[u.Model][u.FailureDomain] = true
	}
	var out Faults
	for i, m := range b.Models {
		if len(all) > 1 && len(engines[m.ID]) == 1 {
			out = append(out, Fault{
				Path:    fmt.Sprintf("models[%d]", i),
				Problem: fmt.Sprintf("all engines of model %q are in one failure domain", m.ID),
				Remedy:  "spread them, or expect refusals while that failure domain is drained",
			})
		}
	}
	return out
}
