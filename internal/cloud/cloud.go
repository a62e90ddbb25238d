// Package cloud speaks to the cloud that rents machines.
package cloud

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"

	"woadweir/internal/core/model"
	"woadweir/internal/jsonhttp"
)

// Errors of the cloud.
var (
	ErrNoCapacity = errors.New("cloud: no capacity")
	ErrTrouble    = errors.New("cloud: trouble")
	ErrBusy       = errors.New("cloud: too many requests")
)

// Client speaks to the cloud.
type Client struct{ http *jsonhttp.Client }

// NewClient makes a client.
func NewClient(addr string) *Client { return &Client{jsonhttp.New(addr, 8)} }

// Machine is a line of the machine list.
type Machine struct {
	ID          string  `json:"ref"`
	Address     string  `json:"address"`
	MachineType string  `json:"build"`
	Zone        string  `json:"yard"`
	Spot        bool    `json:"loaners"`
	Status      string  `json:"status"`
	HeldS       float64 `json:"heldS"`
}

// Rental is a request for machines.
type Rental struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"build"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"count"`
}

func (c *Client) do(method, uri string, in, out any, timeout model.Micros) error {
	return c.http.Do(method, uri, in, timeout, func(code int, body []byte) error {
		switch code {
		case 200:
		case 429:
			return ErrBusy
		case 503:
			var e struct {
				Error string `json:"error"`
			}
			if json.Unmarshal(body, &e) == nil && e.Error == "no capacity" {
				return ErrNoCapacity
			}
			return ErrTrouble
		default:
			return fmt.Errorf("cloud: unexpected status %d", code)
		}
		if out == nil {
			return nil
		}
		return json.Unmarshal(body, out)
	})
}

// MachineTypes reads the machine types with their current prices.
func (c *Client) MachineTypes(timeout model.Micros) ([]model.MachineType, error) {
	var out struct {
		Builds []model.MachineType `json:"builds"`
	}
	err := c.do("GET", "/flavors", nil, &out, timeout)
	return out.Builds, err
}

// Rent asks for machines and returns the names of those that were rented.
func (c *Client) Rent(r *Rental, timeout model.Micros) ([]string, error) {
	var out struct {
		Hosts []string `json:"hosts"`
	}
	err := c.do("POST", "/rentals", r, &out, timeout)
	return out.Hosts, err
}

// Delete returns machines; after a nil error they are gone.
func (c *Client) Delete(refs []string, timeout model.Micros) error {
	return c.do("POST", "/rentals/delete", map[string][]string{"hosts": refs}, nil, timeout)
}

// List reads the machine list, page by page.
func (c *Client) List(timeout model.Micros) ([]Machine, error) {
	var all []Machine
	from := ""
	for {
		var out struct {
			Hosts   []Machine `json:"hosts"`
			HasNext bool      `json:"hasNext"`
		}
		uri := "/rentals?most=500"
		if from != "" {
			uri += "&from=" + url.QueryEscape(from)
		}
		if err := c.do("GET", uri, nil, &out, timeout); err != nil {
			return nil, err
		}
		all = append(all, out.Hosts...)
		if !out.HasNext || len(out.Hosts) == 0 {
			return all, nil
		}
		from = out.Hosts[len(out.Hosts)-1].ID
	}
}
