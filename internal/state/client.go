// Package state speaks to the state service: requests, a budget of writes, and
// the view of the keys that every controller keeps.
package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"woadweir/internal/core/model"
	"woadweir/internal/jsonhttp"
)

// Errors of the state service.
var (
	ErrBusy      = errors.New("state service: too many requests") // 429: not executed
	ErrRefused   = errors.New("state service: refused")           // 503: not executed
	ErrLost      = errors.New("state service: no response")       // may have been, or may yet be executed
	ErrCompacted = errors.New("state service: revision too old")  // 410
	ErrNoLease   = errors.New("state service: no such lease")
	ErrTooBig    = errors.New("state service: value or transaction beyond its limits") // 400: not executed
	ErrMissing   = errors.New("state service: not found")
)

// NotExecuted tells of an error that the request was surely not carried out, and will
// not be.
func NotExecuted(err error) bool {
	return errors.Is(err, ErrBusy) || errors.Is(err, ErrRefused) || errors.Is(err, ErrTooBig) || errors.Is(err, ErrNoLease)
}

// Condition is a condition of a transaction.
type Condition struct {
	Path     string `json:"path"`
	Revision uint64 `json:"stamp"`
}

// Op is a change of a transaction.
type Op struct {
	Set     string `json:"set,omitempty"`
	Value   any    `json:"value,omitempty"`
	LeaseID uint64 `json:"tenancy,omitempty"`
	Drop    string `json:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Conditions []Condition `json:"guards"`
	Then       []Op        `json:"then,omitempty"`
}

// Result of a transaction.
type Result struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"`
	Error    string   `json:"error"`
	OK       bool     `json:"-"`
}

// Entry is a key with its value.
type Entry struct {
	Path     string          `json:"path"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"tenancy"`
}

// Event is a change seen by a watch.
type Event struct {
	Set      string          `json:"set"`
	Drop     string          `json:"drop"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
}

// Changes is a watch's answer.
type Changes struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"events"`
}

// Client speaks to the state service.
type Client struct{ http *jsonhttp.Client }

// NewClient makes a client for the address.
func NewClient(addr string) *Client { return &Client{jsonhttp.New(addr, 16)} }

func (c *Client) do(method, uri string, in, out any, timeout model.Micros) (code int, err error) {
	answered := false
	err = c.http.Do(method, uri, in, timeout, func(status int, body []byte) error {
		code, answered = status, true
		switch {
		case code == 429:
			return ErrBusy
		case code == 503:
			return ErrRefused
		case out != nil && (code == 200 || code == 400 || code == 409):
			if err := json.Unmarshal(body, out); err != nil {
				return fmt.Errorf("%w: %v", ErrLost, err)
			}
		}
		return nil
	})
	if err != nil && !answered {
		err = fmt.Errorf("%w: %v", ErrLost, err)
	}
	return code, err
}

func unexpected(code int) error { return fmt.Errorf("state service: unexpected status %d", code) }

// Get reads a key.
func (c *Client) Get(key string, timeout model.Micros) (*Entry, error) {
	var e Entry
	code, err := c.do("GET", "/keys/"+key, nil, &e, timeout)
	switch {
	case err != nil:
		return nil, err
	case code == 404:
		return nil, ErrMissing
	case code != 200:
		return nil, unexpected(code)
	}
	return &e, nil
}

// List reads all keys, page by page. The epoch is that of the first page:
// watching from there misses nothing, and applying a change twice is harmless.
func (c *Client) List(timeout model.Micros, each func(Entry) error) (epoch uint64, err error) {
	return c.listPrefix("", timeout, each)
}

// listPrefix reads all keys that begin so.
func (c *Client) listPrefix(prefix string, timeout model.Micros, each func(Entry) error) (epoch uint64, err error) {
	from := ""
	for page := 0; ; page++ {
		var out struct {
			Entries  []Entry `json:"entries"`
			HasNext  bool    `json:"hasNext"`
			Revision uint64  `json:"epoch"`
		}
		uri := "/keys?starts=" + prefix + "&most=1000"
		if from != "" {
			uri += "&from=" + url.QueryEscape(from)
		}
		code, err := c.do("GET", uri, nil, &out, timeout)
		if err != nil {
			return 0, err
		}
		if code != 200 {
			return 0, unexpected(code)
		}
		if page == 0 {
			epoch = out.Revision
		}
		for _, e := range out.Entries {
			if err := each(e); err != nil {
				return 0, err
			}
			from = e.Path
		}
		if !out.HasNext || len(out.Entries) == 0 {
			return epoch, nil
		}
	}
}

// Watch returns all changes after the revision, without waiting.
func (c *Client) Watch(from uint64, timeout model.Micros) (*Changes, error) {
	var ch Changes
	code, err := c.do("GET", "/watch?starts=&from="+strconv.FormatUint(from, 10)+"&blockMs=0", nil, &ch, timeout)
	switch {
	case err != nil:
		return nil, err
	case code == 410:
		return nil, ErrCompacted
	case code != 200:
		return nil, unexpected(code)
	}
	return &ch, nil
}

// Commit carries out a transaction.
func (c *Client) Commit(t *Txn, timeout model.Micros) (*Result, error) {
	var r Result
	code, err := c.do("POST", "/commit", t, &r, timeout)
	switch {
	case err != nil:
		return nil, err
	case code == 200:
		r.OK = true
		return &r, nil
	case code == 409:
		return &r, nil
	case code == 400 && strings.Contains(r.Error, "no such lease"):
		return nil, ErrNoLease
	case code == 400:
		return nil, fmt.Errorf("%w: %s", ErrTooBig, r.Error)
	}
	return nil, unexpected(code)
}

// Grant opens a lease.
func (c *Client) Grant(ttl, timeout model.Micros) (uint64, error) {
	var out struct {
		LeaseID uint64 `json:"tenancy"`
	}
	code, err := c.do("POST", "/grants", map[string]int64{"ttlMs": int64(ttl / model.Millisecond)}, &out, timeout)
	if err != nil {
		return 0, err
	}
	if code != 200 {
		return 0, unexpected(code)
	}
	return out.LeaseID, nil
}

// Touch renews a lease; ErrMissing tells that it is over.
func (c *Client) Touch(id uint64, timeout model.Micros) error {
	code, err := c.do("POST", "/grants/"+strconv.FormatUint(id, 10)+"/touch", nil, nil, timeout)
	switch {
	case err != nil:
		return err
	case code == 404:
		return ErrMissing
	case code != 200:
		return unexpected(code)
	}
	return nil
}

// End ends a lease at once.
func (c *Client) End(id uint64, timeout model.Micros) error {
	code, err := c.do("DELETE", "/grants/"+strconv.FormatUint(id, 10), nil, nil, timeout)
	if err != nil {
		return err
	}
	if code != 200 && code != 204 && code != 404 {
		return unexpected(code)
	}
	return nil
}
