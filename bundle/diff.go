package bundle

import (
	"fmt"
	"reflect"
	"time"
)

// ChangeKind tells how a part of the document differs.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two bundles. From is empty for an addition
// and To for a removal.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path names list entries by their identifier, for example
	// "upstreams[engine-1].max_window".
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return "+ " + c.Path + " " + c.To
	case Removed:
		return "- " + c.Path + " " + c.From
	default:
		return "~ " + c.Path + " " + c.From + " -> " + c.To
	}
}

// Diff returns what changes from one bundle to another, in document order.
// The order of list entries is not a change. A nil bundle is an empty one.
func Diff(from, to *Bundle) []Change {
	if from == nil {
		from = new(Bundle)
	}
	if to == nil {
		to = new(Bundle)
	}
	d := &differ{changes: []Change{}}
	d.structs("", reflect.ValueOf(*from), reflect.ValueOf(*to))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(kind ChangeKind, path, from, to string) {
	d.changes = append(d.changes, Change{Kind: kind, Path: path, From: from, To: to})
}

var timeType = reflect.TypeFor[time.Time]()

func (d *differ) structs(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name := yamlName(a.Type().Field(i))
		if path != "" {
			name = path + "." + name
		}
		d.values(name, a.Field(i), b.Field(i))
	}
}

func (d *differ) values(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.entries(path, a, b)
	case a.Kind() == reflect.Slice:
		d.names(path, a, b)
	case a.Kind() == reflect.Pointer:
		d.pointers(path, a, b)
	case a.Kind() == reflect.Struct && a.Type() != timeType:
		d.structs(path, a, b)
	default:
		if from, to := text(a), text(b); from != to {
			d.add(Changed, path, from, to)
		}
	}
}

func (d *differ) pointers(path string, a, b reflect.Value) {
	switch {
	case a.IsNil() && b.IsNil():
	case a.IsNil():
		d.add(Added, path, "", text(b))
	case b.IsNil():
		d.add(Removed, path, text(a), "")
	default:
		d.values(path, a.Elem(), b.Elem())
	}
}

// entries compares lists of structs by their ID field.
func (d *differ) entries(path string, a, b reflect.Value) {
	after := make(map[string]reflect.Value, b.Len())
	for i := range b.Len() {
		after[entryID(b.Index(i))] = b.Index(i)
	}
	seen := make(map[string]bool, a.Len())
	for i := range a.Len() {
		id := entryID(a.Index(i))
		seen[id] = true
		if other, ok := after[id]; ok {
			d.structs(path+"["+id+"]", a.Index(i), other)
			continue
		}
		d.add(Removed, path+"["+id+"]", text(a.Index(i)), "")
	}
	for i := range b.Len() {
		if id := entryID(b.Index(i)); !seen[id] {
			d.add(Added, path+"["+id+"]", "", text(b.Index(i)))
		}
	}
}

func entryID(v reflect.Value) string { return v.FieldByName("ID").String() }

// names compares lists of strings as sets.
func (d *differ) names(path string, a, b reflect.Value) {
	before, after := names(a), names(b)
	for i := range a.Len() {
		if name := a.Index(i).String(); !after[name] {
			d.add(Removed, path, name, "")
		}
	}
	for i := range b.Len() {
		if name := b.Index(i).String(); !before[name] {
			d.add(Added, path, "", name)
		}
	}
}

func names(v reflect.Value) map[string]bool {
	out := make(map[string]bool, v.Len())
	for i := range v.Len() {
		out[v.Index(i).String()] = true
	}
	return out
}

// text returns a value in one line. A struct is shown by its non-zero scalar
// fields and by the lengths of its lists.
func text(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		return text(v.Elem())
	}
	if t, ok := v.Interface().(time.Time); ok {
		return t.Format(time.RFC3339)
	}
	if v.Kind() != reflect.Struct {
		return fmt.Sprint(v.Interface())
	}
	out := ""
	for i := range v.NumField() {
		field := v.Field(i)
		if field.IsZero() {
			continue
		}
		value := ""
		if field.Kind() == reflect.Slice {
			value = fmt.Sprintf("%d entries", field.Len())
		} else {
			value = text(field)
		}
		if out != "" {
			out += ", "
		}
		out += yamlName(v.Type().Field(i)) + ": " + value
	}
	return "{" + out + "}"
}
