package dev

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// workItem is one call of the workload.
type workItem struct {
	at time.Duration
	// warm is set for calls of the warm-up, which are left out of the measures
	// but not of the invariants.
	warm      bool
	workspace core.WorkspaceID
	// number is unique in the workload and part of the call's text.
	number int
	kind   workKind
	class  core.Class
	prompt string
	tokens int
	// path and body are those of a service call.
	path string
	body string
}

// workKind tells the calls of a workload apart.
type workKind uint8

const (
	kindPrompt workKind = iota
	kindRecord
	kindLookup
)

// generator makes the calls of a workload. Equal seeds give equal calls.
type generator struct {
	d        *Deployment
	random   *rand.Rand
	contexts map[core.WorkspaceID][]string
	shares   int
	number   int
}

// warmUp is how long the load runs before it is measured, so that admission
// windows have grown and caches are filled as in a running deployment. Fresh
// upstreams have a fault of their own.
const warmUp = 5 * time.Second

// workload returns the calls of one run, in order of time, the warm-up first.
func workload(d *Deployment, length time.Duration, seed uint64, heavy bool) []workItem {
	g := &generator{d: d, random: rand.New(rand.NewPCG(seed, 1)), contexts: make(map[core.WorkspaceID][]string)}
	for _, w := range d.Workspaces {
		g.shares += w.Share
		shared := g.text(string(w.ID)+" handbook", d.SharedBytes)
		for i := range d.ContextsPerWorkspace {
			g.contexts[w.ID] = append(g.contexts[w.ID], shared+g.text(fmt.Sprintf("%s history %d", w.ID, i), d.HistoryBytes))
		}
	}
	prompts, records := d.Prompts.at(heavy), d.Records.at(heavy)
	var items []workItem
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / (prompts + records) * float64(time.Second))
		if at >= warmUp+length {
			return items
		}
		item := workItem{at: at, warm: at < warmUp, workspace: g.workspace(), number: g.number}
		g.number++
		if g.random.Float64()*(prompts+records) < prompts {
			g.prompt(&item)
		} else {
			g.record(&item)
		}
		items = append(items, item)
	}
}

// text returns readable filler of a length that is unique to its title.
func (g *generator) text(title string, length int) string {
	var b strings.Builder
	b.WriteString(title)
	for line := 0; b.Len() < length; line++ {
		fmt.Fprintf(&b, "; entry %d reading %08x", line, g.random.Uint32())
	}
	return b.String()[:length]
}

func (g *generator) workspace() core.WorkspaceID {
	at := g.random.IntN(g.shares)
	for _, w := range g.d.Workspaces {
		if at -= w.Share; at < 0 {
			return w.ID
		}
	}
	return g.d.Workspaces[0].ID
}

func (g *generator) prompt(item *workItem) {
	class := g.d.Urgent
	if g.random.Float64() >= g.d.Urgent.Share {
		item.class, class = core.Deferrable, g.d.Deferrable
	}
	item.tokens = class.MaxTokens
	title := fmt.Sprintf(" note %d ", item.number)
	if class.PromptBytes > 0 {
		item.prompt = g.text(title, class.PromptBytes)
		return
	}
	contexts := g.contexts[item.workspace]
	i := g.random.IntN(len(contexts))
	item.prompt = contexts[i] + g.text(title, class.NoteBytes)
	if class.KeepsNote {
		contexts[i] = item.prompt
	}
}

func (g *generator) record(item *workItem) {
	if g.random.Float64() < g.d.LookupShare {
		item.kind = kindLookup
		item.path = fmt.Sprintf("%s/%d", g.d.LookupPath, g.random.IntN(100))
		return
	}
	item.kind = kindRecord
	item.path = g.d.RecordPath
	item.body = fmt.Sprintf(`{"entry":%d,"workspace":%q}`, item.number, item.workspace)
}
