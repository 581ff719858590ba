package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
)

// usePrefix checks the cached prefix of the run's prompt and returns its length
// in bytes of text.
func (e *Engine) usePrefix(run *engineRun) int {
	cached := 0
	for _, key := range core.BlockKeys(run.req.CacheSalt, run.req.Prompt) {
		block, ok := e.blocks.Peek(key.String())
		if !ok {
			break
		}
		if !block.whole || block.header.Key != key.String() {
			e.ledger.DamagedBlocks++
			run.damaged = true
		}
		if block.header.Salt != run.req.CacheSalt || block.header.Model != run.req.Model {
			e.ledger.ForeignBlocks++
			run.damaged = true
		}
		cached += core.BlockBytes
	}
	e.ledger.PromptTokens += tokens(len(run.req.Prompt))
	e.ledger.RecomputedTokens += tokens(len(run.req.Prompt)) - tokens(cached)
	return cached
}

func (e *Engine) storePrompt(run *engineRun) {
	var fresh []cacheBlock
	for _, key := range core.BlockKeys(run.req.CacheSalt, run.req.Prompt) {
		header := blockHeader{Salt: run.req.CacheSalt, Model: run.req.Model, Generation: e.cacheEpoch, Key: key.String()}
		fresh = append(fresh, cacheBlock{header: header, key: header.Key, whole: true})
	}
	e.store(run.req.CacheSalt, fresh[:min(len(fresh), e.o.CacheBlocks)])
}

// store adds the blocks of a prefix, at most as many as the cache holds. The
// end of the prefix becomes the first part to be evicted.
func (e *Engine) store(salt string, blocks []cacheBlock) {
	var added []string
	for _, block := range blocks {
		if _, known := e.blocks.Get(block.key); !known {
			e.blocks.Add(block.key, block)
			added = append(added, block.key)
		}
	}
	for _, block := range slices.Backward(blocks) {
		e.blocks.Get(block.key)
	}
	e.publish("stored", salt, added)
}

func (e *Engine) publish(kind, salt string, keys []string) {
	if kind != "cleared" && len(keys) == 0 {
		return
	}
	e.eventSeq++
	if e.o.EventGap > 0 && e.eventSeq%e.o.EventGap == 0 {
		return
	}
	event := engine.Event{Seq: e.eventSeq, Kind: kind, Salt: salt, Keys: keys}
	e.events = record(e.events, event, maxStoredEvents)
}

func (e *Engine) listEvents(r *http.Request, _ struct{}) reply {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return reply{status: http.StatusBadRequest}
	}
	page := engine.EventPage{CacheEpoch: e.cacheEpoch, Events: []engine.Event{}}
	for _, event := range shown(e.events, e.o.EventDelay) {
		if event.value.Seq > after && len(page.Events) < maxEventsInPage {
			page.Events = append(page.Events, event.value)
		}
	}
	return reply{status: http.StatusOK, body: page}
}

func (e *Engine) export(_ *http.Request, req engine.ExportRequest) reply {
	resp := engine.ExportResponse{Blocks: []engine.Block{}}
	for _, key := range req.Keys {
		block, ok := e.blocks.Peek(key)
		if !ok || block.header.Salt != req.Salt {
			continue
		}
		data := block.raw
		if data == nil {
			data = encodeBlock(block.header, e.o.KVBytes)
		}
		resp.Blocks = append(resp.Blocks, engine.Block{Key: key, Data: data})
	}
	return reply{status: http.StatusOK, body: resp}
}

// importBlocks stores blocks as they come, as an engine that cannot check
// their content does, and counts those that are damaged or misplaced.
func (e *Engine) importBlocks(_ *http.Request, req engine.ImportRequest) reply {
	if len(req.Blocks) > e.o.CacheBlocks {
		return reply{status: http.StatusInsufficientStorage}
	}
	var blocks []cacheBlock
	for _, block := range req.Blocks {
		header, whole := decodeBlock(block.Data)
		if !whole || header.Salt != req.Salt || header.Key != block.Key {
			e.ledger.BadImports++
		}
		blocks = append(blocks, cacheBlock{header: header, key: block.Key, whole: whole, raw: block.Data})
	}
	e.store(req.Salt, blocks)
	return reply{status: http.StatusOK}
}

// blockHeader is written inside the data of each exported block, so that a use
// in the wrong place shows.
type blockHeader struct {
	Salt       string `json:"salt"`
	Model      string `json:"model"`
	Generation uint64 `json:"generation"`
	Key        string `json:"key"`
}

// encodeBlock returns the header in one line, filler and a SHA-256 checksum.
func encodeBlock(header blockHeader, size int) []byte {
	data, err := json.Marshal(header)
	if err != nil {
		panic(err) // a struct of strings and a number always encodes
	}
	data = append(data, '\n')
	if missing := size - sha256.Size - len(data); missing > 0 {
		data = append(data, bytes.Repeat([]byte(header.Key[:1]), missing)...)
	}
	sum := sha256.Sum256(data)
	return append(data, sum[:]...)
}

// decodeBlock returns the header and whether the block is whole.
func decodeBlock(data []byte) (header blockHeader, whole bool) {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	if json.Unmarshal(line, &header) != nil || len(data) < sha256.Size {
		return header, false
	}
	body, sum := data[:len(data)-sha256.Size], data[len(data)-sha256.Size:]
	return header, sha256.Sum256(body) == [sha256.Size]byte(sum)
}

type cacheBlock struct {
	header blockHeader
	key    string
	whole  bool
	raw    []byte // nil for a block that this engine computed
}
