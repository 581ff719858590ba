package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"waxwingtide.example/waxwingtide/errs"
)

// Defaults of optional settings.
const (
	DefaultStopTimeout        = 5 * time.Minute
	DefaultBodyBytes          = 4 << 20
	DefaultWaiting            = 1024
	DefaultTimeout            = 30 * time.Second
	DefaultMaxWatched         = 64
	DefaultLinkBytesPerSecond = 8 << 20
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// LoadEntry reads and checks the settings of the entry daemon.
func LoadEntry(file string) (*Entry, error) {
	var s Entry
	if err := load(file, &s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	setDefault(&s.Limits.BodyBytes, DefaultBodyBytes)
	setDefault(&s.Limits.Waiting, DefaultWaiting)
	setDefault(&s.Limits.Timeout, DefaultTimeout)
	setDefault(&s.Routing.MaxWatched, DefaultMaxWatched)
	setDefault(&s.Routing.Policy, PolicyCost)
	return &s, s.check(file)
}

// LoadAgent reads and checks the settings of the agent daemon.
func LoadAgent(file string) (*Agent, error) {
	var s Agent
	if err := load(file, &s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	setDefault(&s.KeptCache.LinkBytesPerSecond, DefaultLinkBytesPerSecond)
	return &s, s.check(file)
}

// Check reads a file as the settings of the program that it is written for.
func Check(file string) (program string, err error) {
	var probe struct {
		Upstream  *struct{} `yaml:"upstream"`
		Readiness string    `yaml:"readiness"`
	}
	body, err := read(file)
	if err != nil {
		return "", err
	}
	if err := unmarshal(body, &probe); err == nil && probe.Upstream != nil {
		_, err := LoadAgent(file)
		return "waxwing-agent", err
	}
	if probe.Readiness != "" {
		_, err := LoadFront(file)
		return "waxwing-front", err
	}
	_, err = LoadEntry(file)
	return "waxwing-entry", err
}

func (c *Common) applyDefaults() {
	setDefault(&c.StopTimeout, DefaultStopTimeout)
	setDefault(&c.Log.Level, "info")
}

func (c *Common) check(file string) error {
	if slices.Contains(c.FailureDomains, c.FailureDomain) {
		return nil
	}
	return fault(file, "failure_domain", fmt.Sprintf("%q is not in failure_domains", c.FailureDomain),
		"add it to failure_domains or correct it")
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

func fault(file, key, problem, remedy string) error {
	return errs.New(errs.Invalid, remedy, "%s: %s: %s", file, key, problem)
}

func read(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "name an existing, readable file", "%s: cannot be read", file)
	}
	if info.Size() > maxFileBytes {
		return nil, fault(file, "file", fmt.Sprintf("%d bytes are too many", info.Size()), "keep it under 1 MiB")
	}
	body, err := os.ReadFile(file)
	return body, errs.Wrap(err, errs.Invalid, "name a readable file", "%s: cannot be read", file)
}

func load(file string, into any) error {
	body, err := read(file)
	if err != nil {
		return err
	}
	if err := unmarshal(body, into, yaml.Strict()); err != nil {
		text := strings.TrimSpace(yaml.FormatError(err, false, false))
		first, _, _ := strings.Cut(text, "\n")
		return fault(file, keyOf(err), first, "correct the key; docs/settings.md lists all keys")
	}
	return validate(file, into)
}

// unmarshal decodes YAML. The library panics on some malformed documents, for
// example on a tag without a value.
func unmarshal(body []byte, into any, options ...yaml.DecodeOption) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("malformed YAML: %v", cause)
		}
	}()
	return yaml.UnmarshalWithOptions(body, into, options...)
}

// keyOf names the key at which decoding failed, as far as the decoder says.
func keyOf(err error) string {
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) && unknown.Token != nil {
		return unknown.Token.Value
	}
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) && mismatch.StructFieldName != nil {
		return *mismatch.StructFieldName
	}
	return "yaml"
}

func validate(file string, v any) error {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	if err := checker.RegisterValidation("ip_port", isIPPort); err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "settings check cannot be set up")
	}
	err := checker.Struct(v)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "%s: settings check failed", file)
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		problem, remedy := explain(f)
		lines = append(lines, fault(file, keyPath(f), problem, remedy).Error())
	}
	return errs.New(errs.Invalid, "", "%s", strings.Join(lines, "\n"))
}

// keyPath returns the key as written in the file, without the names of the Go
// types that hold it.
func keyPath(f validator.FieldError) string {
	_, path, _ := strings.Cut(f.Namespace(), ".")
	path = strings.TrimPrefix(path, "Common.")
	return strings.TrimPrefix(path, ".")
}

func isIPPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

func explain(f validator.FieldError) (problem, remedy string) {
	switch f.Tag() {
	case "required":
		return "is missing", "set it"
	case "ip_port":
		return fmt.Sprintf("%q is not an address", f.Value()), "write IP:port with a numeric IP, for example 127.0.0.1:8080"
	case "http_url":
		return fmt.Sprintf("%q is not an HTTP URL", f.Value()), "write http://IP:port or https://IP:port"
	case "oneof":
		return fmt.Sprintf("%q is not known", f.Value()), "use one of: " + f.Param()
	case "len", "hexadecimal":
		return "is not a SHA-256 in hexadecimal", "write 64 hexadecimal digits"
	case "unique":
		return "has a value twice", "list each value once"
	default:
		return fmt.Sprintf("%v breaks the rule %s %s", f.Value(), f.Tag(), f.Param()), "keep to the rule"
	}
}
